package jobssim

// BadDay is a kind of bad day: the disruptions that make it, and the guards that it needs. docs/design/bad-days.md tells
// more of each.
type BadDay struct {
	Name        string
	Disruptions []Disruption
	Guards      []Guard
}

// BadDays lists the six kinds. Every disruption and every guard is in one of them.
func BadDays() []BadDay {
	return []BadDay{
		{"crowds and hopeless work", crowds(), []Guard{NoAttemptBound, NoRoomCheck, NoIdentity}},
		{"sick, slow, late and leaving workers", strayWorkers(),
			[]Guard{DoubtIsDead, DoubtTakesNoRoom, NoDrainMark, NoLeaveMark, LateBeatsCount}},
		{"lost, frozen, wiped and killed machines, slow disks", lostMachines(),
			[]Guard{EarlyAcknowledgement, StartBeforeCommit, EarlyAnswers}},
		{"a split or powerless core", splitCore(), []Guard{NoLeaseCheck, NoFencingWait, OldLeadersAnswer}},
		{"lost, racing and invalid orders", strayOrders(), []Guard{NoBaseCheck, NoOrderMemory, NoConfigCheck, NoEvacuationMark}},
		{"a leader short of connections", shortages(), []Guard{UnsentStopsCount}},
	}
}
