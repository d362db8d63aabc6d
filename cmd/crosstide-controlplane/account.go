package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/signature"
	"crosstide/internal/state/command"
)

// accountCommand is `cplane account`: the parties' prepaid balances.
func accountCommand() *cli.Command {
	asked := func(more ...cli.Flag) []cli.Flag { return append(append(addrFlags(), jsonFlag()), more...) }
	return &cli.Command{Name: "account", Usage: "open, top up and read the prepaid accounts of parties", Commands: []*cli.Command{
		{Name: "create", Usage: "open the account of the party NAME", ArgsUsage: "NAME", Action: accountCreate,
			Flags: asked(keyFlag(), orderFlag(), &cli.Int64Flag{Name: "credit", Usage: "how many `UNITS` below zero starts may reserve"})},
		{Name: "top-up", Usage: "add UNITS to the account NAME; sent again with the same --order it counts once", ArgsUsage: "NAME UNITS",
			Action: accountTopUp, Flags: asked(keyFlag(), orderFlag())},
		{Name: "show", Usage: "print the account NAME", ArgsUsage: "NAME", Action: accountShow, Flags: asked()},
		{Name: "list", Usage: "print every account", Action: accountList, Flags: asked()},
		{Name: "ledger", Usage: "print entries of the ledger of NAME", ArgsUsage: "NAME", Action: accountLedger,
			Flags: asked(&cli.Uint64Flag{Name: "after", Usage: "only those after this `NUMBER`"}, &cli.IntFlag{Name: "limit", Value: 100})},
		{Name: "export", Usage: "print the ledger of NAME as CSV, with the hash of each entry", ArgsUsage: "NAME", Action: accountExport,
			Flags: addrFlags()},
	}}
}

func accountPath(name, rest string) string { return "/v1/accounts/" + url.PathEscape(name) + rest }

func accountCreate(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "create")
	}
	key, err := loadSigner(cmd)
	if err != nil {
		return errs.Pass(err, "create")
	}
	in := internalapi.AccountCreateCall{Order: orderID(cmd), Credit: cmd.Int64("credit")}
	if key != nil {
		in.By, in.Sig = key.Name, key.Sign(signature.AccountCreate(in.Order, a[0], in.Credit))
	}
	raw, err := postJSON(ctx, cmd, accountPath(a[0], "/create"), in)
	if err != nil {
		return errs.Pass(err, "order %s", in.Order)
	}
	var done command.AccountCreated
	return errs.Pass(printAnswer(cmd, raw, &done, func(w io.Writer) {
		fmt.Fprintf(w, "account\t%s\ncredit\t%d\nopened\t%s\n", done.Account, done.Credit, formatTime(done.At))
	}), "create")
}

func accountTopUp(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "NAME", "UNITS")
	if err != nil {
		return errs.Pass(err, "top-up")
	}
	amount, err := strconv.ParseInt(a[1], 10, 64)
	if err != nil || amount < 1 {
		return errs.Field(errs.Settings, "UNITS", "must be a whole number above 0, is %q", a[1])
	}
	key, err := loadSigner(cmd)
	if err != nil {
		return errs.Pass(err, "top-up")
	}
	in := internalapi.TopUpCall{Key: orderID(cmd), Amount: amount}
	if key != nil {
		in.By, in.Sig = key.Name, key.Sign(signature.AccountTopUp(in.Key, a[0], amount))
	}
	raw, err := postJSON(ctx, cmd, accountPath(a[0], "/top-up"), in)
	if err != nil {
		return errs.Pass(err, "order %s", in.Key)
	}
	var done account.TopUp
	return errs.Pass(printAnswer(cmd, raw, &done, func(w io.Writer) {
		fmt.Fprintf(w, "account\t%s\nkey\t%s\namount\t%d\nbalance then\t%d\nentry\t%d\nat\t%s\n", done.Account, done.Key, done.Amount,
			done.Balance, done.Number, formatTime(done.At))
	}), "top-up")
}

// postJSON sends an order and gives the answer's bytes.
func postJSON(ctx context.Context, cmd *cli.Command, path string, in any) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode the order")
	}
	raw, err := doRequest(ctx, http.MethodPost, cmd.String("addr"), path, body)
	return raw, errs.Pass(err, "post")
}

func accountShow(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "show")
	}
	var v internalapi.AccountView
	return errs.Pass(printQuery(ctx, cmd, accountPath(a[0], ""), &v, func(w io.Writer) {
		fmt.Fprintf(w, "account\t%s\nbalance\t%d\nreserved\t%d\nspent\t%d\ntopped up\t%d\ncredit\t%d\n", v.Name, v.Balance, v.Reserved,
			v.Spent, v.ToppedUp, v.Credit)
		fmt.Fprintf(w, "runs\t%d\nunits a second\t%s\ndry in\t%s\nwaiting jobs\t%d\nteams\t%s\nqueues\t%s\nwarning\t%s\n", v.Runs, perSecond(v.Rate),
			exhaustedIn(v), v.Waiting, orDash(strings.Join(v.Teams, " ")), orDash(strings.Join(v.Queues, " ")), orDash(v.Warning))
	}), "show")
}

func accountList(ctx context.Context, cmd *cli.Command) error {
	var list internalapi.AccountsAnswer
	return errs.Pass(printQuery(ctx, cmd, "/v1/accounts", &list, func(w io.Writer) {
		fmt.Fprintln(w, "ACCOUNT\tBALANCE\tRESERVED\tSPENT\tTOPPED UP\tRUNS\tUNITS/S\tDRY IN\tWAITING\tWARNING")
		for _, v := range list.Accounts {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t%s\n", v.Name, v.Balance, v.Reserved, v.Spent, v.ToppedUp, v.Runs,
				perSecond(v.Rate), exhaustedIn(v), v.Waiting, orDash(v.Warning))
		}
	}), "list")
}

// perSecond shows a rate in units per second.
func perSecond(r account.Rate) string { return fmt.Sprintf("%d.%03d", r/1000, r%1000) }

func exhaustedIn(v internalapi.AccountView) string {
	if !v.Draws {
		return "-"
	}
	return v.ExhaustedIn.Round(time.Second).String()
}

func accountLedger(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "ledger")
	}
	path := fmt.Sprintf("/ledger?after=%d&limit=%d", cmd.Uint64("after"), cmd.Int("limit"))
	var out internalapi.LedgerAnswer
	return errs.Pass(printQuery(ctx, cmd, accountPath(a[0], path), &out, func(w io.Writer) {
		fmt.Fprintln(w, "NUMBER\tAT\tKIND\tKEY\tPART\tAMOUNT")
		for _, e := range out.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\n", e.Number, formatTime(e.At), e.Kind, e.Key, e.DrawIndex, e.Amount)
		}
		ledgerSum(w, "compacted", out.Base)
		ledgerSum(w, "all", out.Head)
	}), "ledger")
}

func ledgerSum(w io.Writer, what string, sum account.Checkpoint) {
	fmt.Fprintf(w, "%s to %d\t\t\t\ttopped up %d\tspent %d\n", what, sum.Number, sum.ToppedUp, sum.Spent)
}

func accountExport(ctx context.Context, cmd *cli.Command) error {
	a, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "export")
	}
	raw, err := doRequest(ctx, http.MethodGet, cmd.String("addr"), accountPath(a[0], "/export"), nil)
	if err != nil {
		return errs.Pass(err, "export")
	}
	_, err = os.Stdout.Write(raw)
	return errs.Wrap(err, errs.Disk, "print the ledger of %s", a[0])
}
