package scheduler

import "crosstide/internal/jobs"

// payment keeps the starts of one pass within the balances of the parties that pay for them. The table checks each start
// again when it is committed; this saves it from refusing the same starts again and again.
type payment struct {
	table    *jobs.Table
	promised map[string]int64 // what the starts of this pass need, by party
	waits    map[string]bool  // parties whose balance is kept for a unit that it does not cover
}

// newPayment gives nil where nobody pays.
func newPayment(table *jobs.Table) *payment {
	if len(table.Parties) == 0 {
		return nil
	}
	return &payment{table: table, promised: map[string]int64{}, waits: map[string]bool{}}
}

// within gives the part of a unit that its party's balance covers: the first tasks, of a gang all or none. Nil if it
// covers none.
func (p *payment) within(u *unit) *unit {
	if p == nil {
		return u
	}
	party := p.table.PartyOf(u.job)
	if party == nil {
		return u
	}
	covered, cost := []int(nil), p.promised[party.Name]
	for _, index := range u.indexes {
		fee := p.table.Fee(u.job, u.task(index))
		if fee > 0 && (p.waits[party.Name] || !p.table.Covers(party, cost+fee)) {
			p.waits[party.Name] = true
			continue
		}
		cost += fee
		covered = append(covered, index)
	}
	if len(covered) == 0 || u.step.Gang && len(covered) < len(u.indexes) {
		return nil
	}
	part := *u
	part.indexes = covered
	return &part
}

// promise takes the starts of a unit into account that were planned.
func (p *payment) promise(u *unit, starts []jobs.Start) {
	if p == nil || len(starts) == 0 {
		return
	}
	if party := p.table.PartyOf(u.job); party != nil {
		for _, start := range starts {
			p.promised[party.Name] += p.table.Fee(u.job, start.Task)
		}
	}
}
