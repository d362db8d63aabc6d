package scheduler

import "crosstide/internal/jobs"

// balanceCheck limits the starts of one placement to what the balances of the paying parties cover. The table checks
// each start again when it is committed; without this check every pass would propose the same starts and have them
// refused. A nil balanceCheck permits everything.
type balanceCheck struct {
	table    *jobs.Table
	reserved map[string]int64 // by party: the cost of the starts planned so far
	blocked  map[string]bool  // parties whose balance didn't cover a more urgent unit: the rest is saved for that unit
}

// newBalanceCheck returns the check for one placement, or nil if the table has no parties.
func newBalanceCheck(table *jobs.Table) *balanceCheck {
	if len(table.Parties) == 0 {
		return nil
	}
	return &balanceCheck{table: table, reserved: map[string]int64{}, blocked: map[string]bool{}}
}

// affordable returns a copy of the unit with only the tasks whose fees the party's balance covers, or nil if it covers
// none. A gang is covered as a whole or not at all.
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

// reserve deducts the cost of a unit's planned starts from the balance that remains for later units.
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
