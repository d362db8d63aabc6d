package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// bundleCommand returns the command for the versions of the bundle, the policy deployment's configuration.
func bundleCommand() *cli.Command {
	base := &cli.Uint64Flag{Name: "base", Usage: "the newest `VERSION`, on which the draft is based",
		Required: true}
	sha := &cli.StringFlag{Name: "sha", Usage: "sign only if the bytes have this SHA-256"}
	limit := &cli.IntFlag{Name: "limit", Value: 50}
	return &cli.Command{Name: "bundle", Usage: "write, sign and read versions of the bundle", Commands: []*cli.Command{
		{Name: "check", Usage: "validate the bundle FILE (- for standard input) and print all errors",
			ArgsUsage: "FILE", Action: checkBundle},
		{Name: "put", Usage: "write FILE as a draft", ArgsUsage: "FILE", Flags: signedOrderFlags(base),
			Action: draftAction("/v1/bundles", signature.BundlePut)},
		{Name: "patch", Usage: "apply the JSON merge patch in FILE to the base and write the result as a draft",
			ArgsUsage: "FILE", Flags: signedOrderFlags(base),
			Action: draftAction("/v1/bundles/patch", signature.BundlePatch)},
		{Name: "sign", Usage: "sign VERSION; the second operator's signature puts it in force", ArgsUsage: "VERSION",
			Flags: signedOrderFlags(sha), Action: signBundle},
		{Name: "show",
			Usage:     "print the exact bytes of VERSION (also: current, newest), or its metadata with --json",
			ArgsUsage: "VERSION", Flags: queryFlags(), Action: showBundle},
		{Name: "log", Usage: "list the versions, newest first", Flags: queryFlags(limit), Action: showBundleLog},
		{Name: "diff", Usage: "print the differences between versions A and B", ArgsUsage: "A B", Flags: queryFlags(),
			Action: diffBundles},
	}}
}

func checkBundle(_ context.Context, cmd *cli.Command) error {
	data, err := readFileArg(cmd)
	if err != nil {
		return errs.Pass(err, "check")
	}
	if _, err := bundle.Parse(data); err != nil {
		return errs.Pass(err, "check")
	}
	fmt.Println("ok", bundle.Digest(data))
	return nil
}

// draftAction returns the action of put and patch. It posts the file as an order and signs the order ID, the base and
// the file's digest.
func draftAction(path string, signedText func(order string, base uint64, digest string) string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		data, err := readFileArg(cmd)
		if err != nil {
			return errs.Pass(err, "write")
		}
		signer, err := loadOperator(cmd)
		if err != nil {
			return errs.Pass(err, "write")
		}
		id, base := orderID(cmd), cmd.Uint64("base")
		query := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}}
		if name, sig := signer.sign(signedText(id, base, bundle.Digest(data))); name != "" {
			query.Set("by", name)
			query.Set("sig", sig)
		}
		err = printOrder(ctx, cmd, id, path+"?"+query.Encode(), data, func(t table, done command.BundleDrafted) {
			t.row("version", done.Version)
			t.row("sha256", done.Digest)
			t.row("state", done.Phase)
		})
		return errs.Pass(err, "write")
	}
}

// signBundle reads a version from the node and signs the digest of the bytes that it has read.
func signBundle(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "VERSION")
	if err != nil {
		return errs.Pass(err, "sign")
	}
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return errs.Field(errs.Settings, "VERSION", "must be a number, is %q", args[0])
	}
	signer, err := loadOperator(cmd)
	if err != nil {
		return errs.Pass(err, "sign")
	}
	if signer.key == nil {
		return errs.Field(errs.Settings, "key", "must be given")
	}
	path := "/v1/bundles/" + strconv.FormatUint(version, 10)
	body, err := doRequest(ctx, cmd, http.MethodGet, path+"/body", nil)
	if err != nil {
		return errs.Pass(err, "read version %d", version)
	}
	digest := bundle.Digest(body)
	if want := cmd.String("sha"); want != "" && !strings.EqualFold(want, digest) {
		return errs.Field(errs.Conflict, "sha", "version %d has SHA-256 %s", version, digest)
	}
	order := operatorapi.BundleSignature{Order: orderID(cmd), Digest: digest}
	order.By, order.Sig = signer.sign(signature.Bundle(version, digest))
	err = printJSONOrder(ctx, cmd, order.Order, path+"/sign", order, func(t table, done command.BundleSigned) {
		t.row("version", done.Version)
		t.row("sha256", done.Digest)
		t.row("state", done.Phase)
		t.row("signed", joined(done.Signed))
	})
	return errs.Pass(err, "sign")
}

func showBundle(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "VERSION")
	if err != nil {
		return errs.Pass(err, "show")
	}
	path := "/v1/bundles/" + url.PathEscape(args[0])
	if !cmd.Bool("json") {
		path += "/body"
	}
	raw, err := doRequest(ctx, cmd, http.MethodGet, path, nil)
	if err != nil {
		return errs.Pass(err, "show")
	}
	_, err = os.Stdout.Write(raw) // the exact bytes, without a trailing newline
	return errs.Wrap(err, errs.Internal, "print")
}

func showBundleLog(ctx context.Context, cmd *cli.Command) error {
	path := "/v1/bundles?limit=" + strconv.Itoa(cmd.Int("limit"))
	return errs.Pass(printQuery(ctx, cmd, path, renderBundleLog), "log")
}

func renderBundleLog(t table, log operatorapi.BundleList) {
	t.row("VERSION", "BASE", "STATE", "WRITTEN", "BY", "SIGNED", "IN FORCE", "BYTES", "SHA256")
	for _, v := range log.Versions {
		t.row(v.Version, v.Base, v.Phase, formatTime(v.WrittenAt), orDash(v.Author), orDash(joined(signerNames(v))),
			formatTime(v.InForceSince), v.Size, v.Digest)
	}
}

func signerNames(revision state.Revision) []string {
	var names []string
	for _, signed := range revision.Signed {
		names = append(names, signed.By)
	}
	return names
}

func diffBundles(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "A", "B")
	if err != nil {
		return errs.Pass(err, "diff")
	}
	path := "/v1/bundles/" + url.PathEscape(args[0]) + "/diff/" + url.PathEscape(args[1])
	return errs.Pass(printQuery(ctx, cmd, path, renderDifference), "diff")
}

func renderDifference(t table, diff operatorapi.BundleDiff) {
	t.row("PATH", diff.From, diff.To)
	for _, change := range diff.Changes {
		t.row(change.Path, orDash(change.From), orDash(change.To))
	}
}
