package scheduler

import (
	"crosstide/internal/jobs"
)

// balanceCheck keeps the starts of one pass within the balances of the parties that pay for them. The table checks each start
// again when it is committed; this saves it from refusing the same starts again and again.
type balanceCheck struct {
	table    *jobs.Table
	reserved map[string]int64 // what the starts of this pass need, by party
	blocked  map[string]bool  // parties whose balance is kept for a unit that it does not cover
}

// newBalanceCheck gives nil where nobody pays.
func newBalanceCheck(table *jobs.Table) *balanceCheck {
	if len(table.Parties) == 0 {
		return nil
	}
	return &balanceCheck{table: table, reserved: map[string]int64{}, blocked: map[string]bool{}}
}

// affordable gives the part of a unit that its party's balance covers: the first tasks, of a gang all or none. Nil if it
// covers none.
func (p *balanceCheck) affordable(u *unit) *unit {
	if p == nil {
		return u
	}
	party := p.table.PartyOf(u.job)
	if party == nil {
		return u
	}
	covered, cost := []int(nil), p.reserved[party.Name]
	for _, index := range u.taskIndexes {
		fee := p.table.Fee(u.job, u.task(index))
		if fee > 0 && (p.blocked[party.Name] || !p.table.Covers(party, cost+fee)) {
			p.blocked[party.Name] = true
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

// reserve takes the starts of a unit into account that were planned.
func (p *balanceCheck) reserve(u *unit, starts []jobs.Start) {
	if p == nil || len(starts) == 0 {
		return
	}
	if party := p.table.PartyOf(u.job); party != nil {
		for _, start := range starts {
			p.reserved[party.Name] += p.table.Fee(u.job, start.Task)
		}
	}
}
