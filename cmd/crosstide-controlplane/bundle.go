package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

const timeLayout = "2006-01-02T15:04:05.000Z"

func keyFlag() cli.Flag {
	return &cli.StringFlag{Name: "key", Usage: "`FILE` of the operator who signs"}
}

func orderFlag() cli.Flag {
	return &cli.StringFlag{Name: "order", Usage: "`ID` of the order; drawn if it is not given. Sent again it is carried out once"}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"}
}

func bundleCommands() []*cli.Command {
	base := &cli.Uint64Flag{Name: "base", Usage: "the `VERSION` that this is written against, the newest", Required: true}
	asked := slices.Clip(append(addrFlags(), jsonFlag()))
	return []*cli.Command{
		{Name: "key", Usage: "an operator's key", Commands: []*cli.Command{
			{Name: "new", Usage: "draw a key for the operator NAME and write it to FILE", ArgsUsage: "NAME FILE", Action: keyNew},
			{Name: "show", Usage: "print the public part of the key in FILE, as operator_keys holds it", ArgsUsage: "FILE", Action: keyShow},
		}},
		{Name: "bundle", Usage: "write, sign and read the bundle", Commands: []*cli.Command{
			{Name: "check", Usage: "print all mistakes in the bundle FILE (- for standard input)", ArgsUsage: "FILE", Action: bundleCheck},
			{Name: "put", Usage: "write FILE as a draft", ArgsUsage: "FILE", Flags: append(asked, keyFlag(), orderFlag(), base),
				Action: bundleWriteAction("/v1/bundles", signature.Put)},
			{Name: "patch", Usage: "write the base, changed by the JSON merge patch in FILE, as a draft", ArgsUsage: "FILE",
				Flags: append(asked, keyFlag(), orderFlag(), base), Action: bundleWriteAction("/v1/bundles/patch", signature.Patch)},
			{Name: "sign", Usage: "sign VERSION; the second operator puts it in force", ArgsUsage: "VERSION", Action: bundleSign,
				Flags: append(asked, keyFlag(), orderFlag(), &cli.StringFlag{Name: "sha", Usage: "refuse unless the bytes have this SHA-256"})},
			{Name: "show", Usage: "print the exact bytes of VERSION (also: current, newest); with --json what is known of it",
				ArgsUsage: "VERSION", Flags: asked, Action: bundleShow},
			{Name: "log", Usage: "list the versions, newest first", Action: bundleLog,
				Flags: append(asked, &cli.IntFlag{Name: "limit", Value: 50})},
			{Name: "diff", Usage: "print what differs between A and B", ArgsUsage: "A B", Flags: asked, Action: bundleDiff},
		}},
		{Name: "rollout", Usage: "print which bundle every node has, and how long it took", Flags: asked, Action: showRollout},
		{Name: "zone", Usage: "evacuate a zone, or lift that", Commands: []*cli.Command{
			{Name: "evacuate", Usage: "no new starts in ZONE, what runs there is stopped", ArgsUsage: "ZONE",
				Flags: append(asked, keyFlag(), orderFlag()), Action: zoneAction(true)},
			{Name: "lift", Usage: "ZONE may be used again; two operators are needed", ArgsUsage: "ZONE",
				Flags: append(asked, keyFlag(), orderFlag()), Action: zoneAction(false)},
			{Name: "list", Usage: "print the evacuated zones", Flags: asked, Action: zoneList},
		}},
	}
}

// one returns the arguments, which must be so many.
func exactArgs(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.NArg() != len(names) {
		return nil, errs.Field(errs.Settings, strings.Join(names, " "), "%d arguments are needed, are %d", len(names), cmd.NArg())
	}
	return cmd.Args().Slice(), nil
}

func keyNew(_ context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "NAME", "FILE")
	if err != nil {
		return errs.Pass(err, "key")
	}
	key, err := signature.New(a[0])
	if err != nil {
		return errs.Pass(err, "key")
	}
	if err := key.Save(a[1]); err != nil {
		return errs.Pass(err, "key")
	}
	return errs.Pass(printJSON(map[string]string{"name": key.Name, "key": key.Public()}), "key")
}

func keyShow(_ context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "FILE")
	if err != nil {
		return errs.Pass(err, "key")
	}
	key, err := signature.Load(a[0])
	if err != nil {
		return errs.Pass(err, "key")
	}
	return errs.Pass(printJSON(map[string]string{"name": key.Name, "key": key.Public()}), "key")
}

func printJSON(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode")
	}
	_, err = fmt.Println(string(raw))
	return errs.Wrap(err, errs.Internal, "print")
}

// readFileArg reads the one argument as a file.
func readFileArg(cmd *cli.Command) ([]byte, error) {
	a, err := exactArgs(cmd, "FILE")
	if err != nil {
		return nil, errs.Pass(err, "file")
	}
	if a[0] == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errs.Wrap(err, errs.Disk, "standard input")
	}
	data, err := os.ReadFile(a[0])
	return data, errs.Wrap(err, errs.Disk, "file")
}

func bundleCheck(_ context.Context, cmd *cli.Command) error {
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

// loadSigner returns the operator's key, nil if none is given: the store may know no operators yet.
func loadSigner(cmd *cli.Command) (*signature.Key, error) {
	if !cmd.IsSet("key") {
		return nil, nil
	}
	key, err := signature.Load(cmd.String("key"))
	return &key, errs.Pass(err, "key")
}

// bundleWriteAction makes the action of put and patch; what is signed is the order, the base and the digest of the text.
func bundleWriteAction(path string, signed func(order string, base uint64, digest string) string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		data, err := readFileArg(cmd)
		if err != nil {
			return errs.Pass(err, "write")
		}
		key, err := loadSigner(cmd)
		if err != nil {
			return errs.Pass(err, "write")
		}
		id, base := orderID(cmd), cmd.Uint64("base")
		q := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}}
		if key != nil {
			q.Set("by", key.Name)
			q.Set("sig", key.Sign(signed(id, base, bundle.Digest(data))))
		}
		raw, err := doRequest(ctx, http.MethodPost, cmd.String("addr"), path+"?"+q.Encode(), data)
		if err != nil {
			return errs.Pass(err, "order %s", id)
		}
		var done command.BundleDrafted
		return errs.Pass(printAnswer(cmd, raw, &done, func(w io.Writer) {
			fmt.Fprintf(w, "version\t%d\nsha256\t%s\nstate\t%s\n", done.Version, done.Digest, done.Phase)
		}), "write")
	}
}

// printAnswer prints raw, or with a table what it says.
func printAnswer(cmd *cli.Command, raw []byte, into any, table func(w io.Writer)) error {
	if cmd.Bool("json") {
		_, err := os.Stdout.Write(append([]byte(strings.TrimSpace(string(raw))), '\n'))
		return errs.Wrap(err, errs.Internal, "print")
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return errs.Wrap(err, errs.Malformed, "the answer")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	table(out)
	return errs.Wrap(out.Flush(), errs.Internal, "print")
}

// bundleSign reads the version, takes the digest of the very bytes it read, and signs that.
func bundleSign(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "VERSION")
	if err != nil {
		return errs.Pass(err, "sign")
	}
	version, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return errs.Field(errs.Settings, "VERSION", "must be a number, is %q", a[0])
	}
	key, err := loadSigner(cmd)
	if err != nil {
		return errs.Pass(err, "sign")
	}
	if key == nil {
		return errs.Field(errs.Settings, "key", "must be given")
	}
	addr, path := cmd.String("addr"), "/v1/bundles/"+strconv.FormatUint(version, 10)
	body, err := doRequest(ctx, http.MethodGet, addr, path+"/body", nil)
	if err != nil {
		return errs.Pass(err, "read version %d", version)
	}
	digest := bundle.Digest(body)
	if want := cmd.String("sha"); want != "" && !strings.EqualFold(want, digest) {
		return errs.Field(errs.Conflict, "sha", "version %d has %s", version, digest)
	}
	id := orderID(cmd)
	in, err := json.Marshal(operatorapi.Signing{Order: id, Digest: digest, By: key.Name, Sig: key.Sign(signature.Bundle(version, digest))})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the order")
	}
	raw, err := doRequest(ctx, http.MethodPost, addr, path+"/sign", in)
	if err != nil {
		return errs.Pass(err, "order %s", id)
	}
	var done command.BundleSigned
	return errs.Pass(printAnswer(cmd, raw, &done, func(w io.Writer) {
		fmt.Fprintf(w, "version\t%d\nsha256\t%s\nstate\t%s\nsigned\t%s\n", done.Version, done.Digest, done.Phase, strings.Join(done.Signed, " "))
	}), "sign")
}

func bundleShow(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "VERSION")
	if err != nil {
		return errs.Pass(err, "show")
	}
	path := "/v1/bundles/" + url.PathEscape(a[0])
	if !cmd.Bool("json") {
		path += "/body"
	}
	raw, err := doRequest(ctx, http.MethodGet, cmd.String("addr"), path, nil)
	if err != nil {
		return errs.Pass(err, "show")
	}
	_, err = os.Stdout.Write(raw) // the exact bytes, without a line end
	return errs.Wrap(err, errs.Internal, "print")
}

// printQuery gets path and prints it as a table, or as JSON.
func printQuery(ctx context.Context, cmd *cli.Command, path string, into any, table func(w io.Writer)) error {
	raw, err := doRequest(ctx, http.MethodGet, cmd.String("addr"), path, nil)
	if err != nil {
		return errs.Pass(err, "ask")
	}
	return errs.Pass(printAnswer(cmd, raw, into, table), "ask")
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(timeLayout)
}

func bundleLog(ctx context.Context, cmd *cli.Command) error {
	var log operatorapi.Log
	return errs.Pass(printQuery(ctx, cmd, "/v1/bundles?limit="+strconv.Itoa(cmd.Int("limit")), &log, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tBASE\tSTATE\tWRITTEN\tBY\tSIGNED\tIN FORCE\tBYTES\tSHA256")
		for _, v := range log.Versions {
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", v.Version, v.Base, v.Phase, formatTime(v.WrittenAt), orDash(v.Author),
				orDash(signerNames(v)), formatTime(v.InForceSince), v.Size, v.Digest)
		}
	}), "log")
}

func signerNames(r state.Revision) string {
	var out []string
	for _, g := range r.Signed {
		out = append(out, g.By)
	}
	return strings.Join(out, " ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func bundleDiff(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "A", "B")
	if err != nil {
		return errs.Pass(err, "diff")
	}
	var diff operatorapi.Difference
	return errs.Pass(printQuery(ctx, cmd, "/v1/bundles/"+url.PathEscape(a[0])+"/diff/"+url.PathEscape(a[1]), &diff, func(w io.Writer) {
		fmt.Fprintf(w, "PATH\t%d\t%d\n", diff.From, diff.To)
		for _, c := range diff.Changes {
			fmt.Fprintf(w, "%s\t%s\t%s\n", c.Path, orDash(c.From), orDash(c.To))
		}
	}), "diff")
}

func showRollout(ctx context.Context, cmd *cli.Command) error {
	var out operatorapi.Rollout
	return errs.Pass(printQuery(ctx, cmd, "/v1/rollout", &out, func(w io.Writer) {
		fmt.Fprintf(w, "version %d in force since %s\nKIND\tNODE\tVERSION\tSINCE\tTOOK\tHEARD\n", out.Version, formatTime(out.InForceSince))
		for _, n := range out.Nodes {
			took := "-"
			if n.Version == out.Version && !out.InForceSince.IsZero() {
				took = n.Took.Round(100 * time.Microsecond).String()
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", n.Kind, n.Node, n.Version, formatTime(n.Since), took, formatTime(n.Heard))
		}
		for _, name := range out.Silent {
			fmt.Fprintf(w, "cplane\t%s\tno answer\t\t\t\n", name)
		}
	}), "rollout")
}

// zoneAction makes the action of evacuate and lift.
func zoneAction(out bool) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		a, err := exactArgs(cmd, "ZONE")
		if err != nil {
			return errs.Pass(err, "zone")
		}
		key, err := loadSigner(cmd)
		if err != nil {
			return errs.Pass(err, "zone")
		}
		in := operatorapi.Order{Order: orderID(cmd)}
		word, signed := "evacuate", signature.Evacuate(in.Order, a[0])
		if !out {
			since, err := evacuatedSince(ctx, cmd, a[0])
			if err != nil {
				return errs.Pass(err, "zone")
			}
			word, signed = "lift", signature.Lift(a[0], since)
		}
		if key != nil {
			in.By, in.Sig = key.Name, key.Sign(signed)
		}
		body, err := json.Marshal(in)
		if err != nil {
			return errs.Wrap(err, errs.Internal, "encode the order")
		}
		raw, err := doRequest(ctx, http.MethodPost, cmd.String("addr"), "/v1/zones/"+url.PathEscape(a[0])+"/"+word, body)
		if err != nil {
			return errs.Pass(err, "order %s", in.Order)
		}
		var done command.ZoneEvacuation
		return errs.Pass(printAnswer(cmd, raw, &done, func(w io.Writer) {
			fmt.Fprintf(w, "zone\t%s\nevacuated\t%t\nsigned\t%s\n", done.Zone, done.Evacuated, orDash(strings.Join(done.Signed, " ")))
		}), "zone")
	}
}

// evacuatedSince returns since when a zone is; the zero time if it is not.
func evacuatedSince(ctx context.Context, cmd *cli.Command, name string) (since time.Time, err error) {
	raw, err := doRequest(ctx, http.MethodGet, cmd.String("addr"), "/v1/zones", nil)
	if err != nil {
		return since, errs.Pass(err, "zones")
	}
	var list operatorapi.Zones
	if err := json.Unmarshal(raw, &list); err != nil {
		return since, errs.Wrap(err, errs.Malformed, "zones")
	}
	for _, z := range list.Zones {
		if z.Zone == name {
			since = z.Since
		}
	}
	return since, nil
}

func zoneList(ctx context.Context, cmd *cli.Command) error {
	var list operatorapi.Zones
	return errs.Pass(printQuery(ctx, cmd, "/v1/zones", &list, func(w io.Writer) {
		fmt.Fprintln(w, "ZONE\tEVACUATED\tLIFTING SIGNED")
		for _, z := range list.Zones {
			fmt.Fprintf(w, "%s\t%s\t%s\n", z.Zone, formatTime(z.Since), orDash(strings.Join(z.Signed, " ")))
		}
	}), "zones")
}
