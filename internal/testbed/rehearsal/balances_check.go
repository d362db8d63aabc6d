package rehearsal

import (
	"bytes"
	"context"

	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/billingload"
	"crosstide/internal/testbed/load"
)

// check waits until the fleet is ready and checks the loads, the account, the ledgers of all control planes and the
// journals.
func (b *balances) check(ctx context.Context) {
	if _, err := b.AwaitReady(ctx, recoveryTimeout, "ready after the drill"); err != nil {
		b.violatef("%v", err)
	}
	for name, r := range map[string]load.Report{"paid": b.report.Paid, "free": b.report.Free} {
		if !r.AllDone() {
			b.violatef("load %s: %d accepted, %d done, %d unknown, %d unfinished", name, r.Accepted, r.Done, r.Unknown,
				r.Unfinished)
		}
	}
	var err error
	if b.report.Account, err = b.readAccount(ctx); err != nil {
		b.violatef("read account: %v", err)
		return
	}
	b.checkLedgers(ctx)
	b.report.TopUps = len(b.topUps)
	if b.report.Audit, err = audit.CheckFleet(ctx, b.Dir); err != nil {
		b.violatef("audit: %v", err)
	}
}

// checkLedgers checks that all control planes export the same ledger and that its sums match the account.
func (b *balances) checkLedgers(ctx context.Context) {
	want := int64(0)
	for _, amount := range b.topUps {
		want += amount
	}
	account := b.report.Account
	if account.ToppedUp != want {
		b.violatef("account was topped up with %d, but the acknowledged top-ups sum to %d", account.ToppedUp, want)
	}
	first := b.compareExports(ctx)
	sums, err := billingload.SumExport(first)
	if err != nil || sums.ToppedUp != want || sums.Spent != account.Spent {
		b.violatef("ledger sums to %d topped up and %d spent (%v), want %d and %d", sums.ToppedUp, sums.Spent, err,
			want, account.Spent)
	}
}

// compareExports returns the first ledger export, or nil if no control plane exported one. An export that fails or
// differs from the first is a violation.
func (b *balances) compareExports(ctx context.Context) (first []byte) {
	for _, node := range b.Nodes.ControlPlanes {
		raw, err := b.operator.Export(ctx, node, b.party)
		if err != nil {
			b.violatef("export ledger at %s: %v", node.Name, err)
			continue
		}
		if first == nil {
			first = raw
		}
		if !bytes.Equal(raw, first) {
			b.violatef("ledger exported at %s differs from the first export", node.Name)
		}
	}
	return first
}
