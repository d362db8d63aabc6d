package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/signature"
	"crosstide/internal/state/command"
)

// accountCommand returns the command for the parties' prepaid accounts.
func accountCommand() *cli.Command {
	credit := &cli.Int64Flag{Name: "credit", Usage: "let starts reserve up to this many `UNITS` below zero"}
	after := &cli.Uint64Flag{Name: "after", Usage: "only entries after this `NUMBER`"}
	limit := &cli.IntFlag{Name: "limit", Value: 100}
	return &cli.Command{Name: "account", Usage: "open, top up and read the prepaid accounts of parties",
		Commands: []*cli.Command{
			{Name: "create", Usage: "open the account of the party NAME", ArgsUsage: "NAME",
				Flags: signedOrderFlags(credit), Action: createAccount},
			{Name: "top-up", Usage: "add UNITS to the account NAME; a repeat with the same --order counts once",
				ArgsUsage: "NAME UNITS", Flags: signedOrderFlags(), Action: topUpAccount},
			{Name: "show", Usage: "print the account NAME", ArgsUsage: "NAME", Flags: queryFlags(),
				Action: showAccount},
			{Name: "list", Usage: "print every account", Flags: queryFlags(),
				Action: queryAction("/v1/accounts", renderAccounts)},
			{Name: "ledger", Usage: "print entries of the ledger of the account NAME", ArgsUsage: "NAME",
				Flags: queryFlags(after, limit), Action: showLedger},
			{Name: "export", Usage: "print the ledger of the account NAME as CSV, with the hash of each entry",
				ArgsUsage: "NAME", Flags: []cli.Flag{addrFlag()}, Action: exportLedger},
		}}
}

func accountPath(name, rest string) string { return "/v1/accounts/" + url.PathEscape(name) + rest }

func createAccount(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "create")
	}
	signer, err := loadOperator(cmd)
	if err != nil {
		return errs.Pass(err, "create")
	}
	call := internalapi.AccountCreateCall{Order: orderID(cmd), Credit: cmd.Int64("credit")}
	call.By, call.Sig = signer.sign(signature.AccountCreate(call.Order, args[0], call.Credit))
	err = printJSONOrder(ctx, cmd, call.Order, accountPath(args[0], "/create"), call,
		func(t table, done command.AccountCreated) {
			t.row("account", done.Account)
			t.row("credit", done.Credit)
			t.row("opened", formatTime(done.At))
		})
	return errs.Pass(err, "create")
}

func topUpAccount(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "NAME", "UNITS")
	if err != nil {
		return errs.Pass(err, "top-up")
	}
	amount, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil || amount < 1 {
		return errs.Field(errs.Settings, "UNITS", "must be an integer greater than 0, is %q", args[1])
	}
	signer, err := loadOperator(cmd)
	if err != nil {
		return errs.Pass(err, "top-up")
	}
	call := internalapi.TopUpCall{Key: orderID(cmd), Amount: amount}
	call.By, call.Sig = signer.sign(signature.AccountTopUp(call.Key, args[0], amount))
	err = printJSONOrder(ctx, cmd, call.Key, accountPath(args[0], "/top-up"), call, func(t table, done account.TopUp) {
		t.row("account", done.Account)
		t.row("key", done.Key)
		t.row("amount", done.Amount)
		t.row("balance then", done.Balance)
		t.row("entry", done.Number)
		t.row("at", formatTime(done.At))
	})
	return errs.Pass(err, "top-up")
}

func showAccount(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "show")
	}
	return errs.Pass(printQuery(ctx, cmd, accountPath(args[0], ""), renderAccount), "show")
}

func renderAccount(t table, v internalapi.AccountView) {
	t.row("account", v.Name)
	t.row("balance", v.Balance)
	t.row("reserved", v.Reserved)
	t.row("spent", v.Spent)
	t.row("topped up", v.ToppedUp)
	t.row("credit", v.Credit)
	t.row("runs", v.Runs)
	t.row("units a second", unitsPerSecond(v.Rate))
	t.row("dry in", exhaustedIn(v))
	t.row("waiting jobs", v.Waiting)
	t.row("teams", orDash(joined(v.Teams)))
	t.row("queues", orDash(joined(v.Queues)))
	t.row("warning", orDash(v.Warning))
}

func renderAccounts(t table, list internalapi.AccountsAnswer) {
	t.row("ACCOUNT", "BALANCE", "RESERVED", "SPENT", "TOPPED UP", "RUNS", "UNITS/S", "DRY IN", "WAITING", "WARNING")
	for _, v := range list.Accounts {
		t.row(v.Name, v.Balance, v.Reserved, v.Spent, v.ToppedUp, v.Runs, unitsPerSecond(v.Rate), exhaustedIn(v),
			v.Waiting, orDash(v.Warning))
	}
}

// unitsPerSecond formats a rate, whose unit is a thousandth of a unit per second.
func unitsPerSecond(rate account.Rate) string { return fmt.Sprintf("%d.%03d", rate/1000, rate%1000) }

// exhaustedIn formats the time until the balance runs out at the present rate, or a dash if nothing is drawn.
func exhaustedIn(v internalapi.AccountView) string {
	if !v.IsDrawing {
		return "-"
	}
	return v.ExhaustedIn.Round(time.Second).String()
}

func showLedger(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "ledger")
	}
	page := fmt.Sprintf("/ledger?after=%d&limit=%d", cmd.Uint64("after"), cmd.Int("limit"))
	return errs.Pass(printQuery(ctx, cmd, accountPath(args[0], page), renderLedger), "ledger")
}

func renderLedger(t table, ledger internalapi.LedgerAnswer) {
	t.row("NUMBER", "AT", "KIND", "KEY", "PART", "AMOUNT")
	for _, entry := range ledger.Entries {
		t.row(entry.Number, formatTime(entry.At), entry.Kind, entry.Key, entry.DrawIndex, entry.Amount)
	}
	totals := func(name string, upTo account.Checkpoint) {
		t.row(fmt.Sprintf("%s to %d", name, upTo.Number), "", "", "",
			fmt.Sprintf("topped up %d", upTo.ToppedUp), fmt.Sprintf("spent %d", upTo.Spent))
	}
	totals("compacted", ledger.Base)
	totals("all", ledger.Head)
}

func exportLedger(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "NAME")
	if err != nil {
		return errs.Pass(err, "export")
	}
	raw, err := doRequest(ctx, cmd, http.MethodGet, accountPath(args[0], "/export"), nil)
	if err != nil {
		return errs.Pass(err, "export")
	}
	_, err = os.Stdout.Write(raw)
	return errs.Wrap(err, errs.Disk, "print the ledger of %s", args[0])
}
