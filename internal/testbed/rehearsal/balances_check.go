package rehearsal

import (
	"bytes"
	"context"

	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/billingload"
	"crosstide/internal/testbed/load"
)

// check checks the loads, the account, the ledgers of all control planes and the journals, once the fleet is ready.
func (b *balances) check(ctx context.Context) {
	if _, err := b.AwaitReady(ctx, recoveryTimeout, "ready after the drill"); err != nil {
		b.violatef("%v", err)
	}
	for what, r := range map[string]load.Report{"paid": b.report.Paid, "free": b.report.Free} {
		if !r.AllDone() {
			b.violatef("%s: %d accepted, %d done, %d unknown, %d unfinished", what, r.Accepted, r.Done, r.Unknown,
				r.Unfinished)
		}
	}
	var err error
	if b.report.Account, err = b.readAccount(ctx); err != nil {
		b.violatef("account: %v", err)
		return
	}
	b.checkLedgers(ctx)
	b.report.TopUps = len(b.topUps)
	if b.report.Audit, err = audit.CheckFleet(ctx, b.Dir); err != nil {
		b.violatef("audit: %v", err)
	}
}

// checkLedgers compares the exports of all control planes, and sums up their entries.
func (b *balances) checkLedgers(ctx context.Context) {
	want := int64(0)
	for _, amount := range b.topUps {
		want += amount
	}
	account := b.report.Account
	if account.ToppedUp != want {
		b.violatef("topped up with %d, %d was acknowledged", account.ToppedUp, want)
	}
	first := b.compareExports(ctx)
	sums, err := billingload.SumExport(first)
	if err != nil || sums.ToppedUp != want || sums.Spent != account.Spent {
		b.violatef("the ledger adds up to %d and %d (%v), the account has %d and %d", sums.ToppedUp, sums.Spent, err,
			want, account.Spent)
	}
}

// compareExports returns the first export; those of all control planes must be the same.
func (b *balances) compareExports(ctx context.Context) (first []byte) {
	for _, node := range b.Nodes.ControlPlanes {
		raw, err := b.operator.Export(ctx, node, b.party)
		if err != nil {
			b.violatef("export at %s: %v", node.Name, err)
			continue
		}
		if first == nil {
			first = raw
		}
		if !bytes.Equal(raw, first) {
			b.violatef("%s exports another ledger", node.Name)
		}
	}
	return first
}
