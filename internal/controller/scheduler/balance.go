package scheduler

import "crosstide/internal/jobs"

// balanceCheck keeps the starts of one placement within the balances of the parties that pay for them. The table checks
// each start again when it is committed; without this check it would refuse the same starts again and again. A nil
// balanceCheck permits everything.
type balanceCheck struct {
	table    *jobs.Table
	reserved map[string]int64 // by party: the cost of the starts planned so far
	blocked  map[string]bool  // parties whose balance doesn't cover a more urgent unit, for which it is saved
}

// newBalanceCheck returns the check of one placement; nil if the table has no parties.
func newBalanceCheck(table *jobs.Table) *balanceCheck {
	if len(table.Parties) == 0 {
		return nil
	}
	return &balanceCheck{table: table, reserved: map[string]int64{}, blocked: map[string]bool{}}
}

// affordable returns the part of a unit that its party's balance covers: the first tasks, of a gang all or none; nil if
// it covers none.
func (b *balanceCheck) affordable(u *unit) *unit {
	if b == nil {
		return u
	}
	party := b.table.PartyOf(u.job)
	if party == nil {
		return u
	}
	var covered []int
	cost := b.reserved[party.Name]
	for _, index := range u.taskIndexes {
		fee := b.table.Fee(u.job, u.task(index))
		if fee > 0 && (b.blocked[party.Name] || !b.table.Covers(party, cost+fee)) {
			b.blocked[party.Name] = true
			continue
		}
		cost += fee
		covered = append(covered, index)
	}
	if len(covered) == 0 || u.step.Gang && len(covered) < len(u.taskIndexes) {
		return nil
	}
	part := *u
	part.taskIndexes = covered
	return &part
}

// reserve deducts what planned starts of a unit cost from what is left for later units.
func (b *balanceCheck) reserve(u *unit, starts []jobs.Start) {
	if b == nil || len(starts) == 0 {
		return
	}
	if party := b.table.PartyOf(u.job); party != nil {
		for _, start := range starts {
			b.reserved[party.Name] += b.table.Fee(u.job, start.Task)
		}
	}
}
