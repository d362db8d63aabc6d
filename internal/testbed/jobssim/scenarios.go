package jobssim

// BadDay is a scenario of failures: its disruptions, and the guards without which a rule breaks in it.
// docs/design/failure-scenarios.md explains each.
type BadDay struct {
	Name        string
	Disruptions []Disruption
	Guards      []Guard
}

// BadDays returns the six scenarios. Every disruption and every guard is in one of them.
func BadDays() []BadDay {
	return []BadDay{
		{"crowds and hopeless work", overloads(), []Guard{NoAttemptBound, NoCapacityCheck, NoIdentity}},
		{"sick, slow, late and leaving workers", workerDisruptions(),
			[]Guard{UnconfirmedIsDead, UnconfirmedReservesNothing, NoDrainMark, NoLeaveMark, StaleHeartbeatsCount}},
		{"lost, frozen, wiped and killed machines, slow disks", machineDisruptions(),
			[]Guard{EarlyAcknowledgement, StartBeforeCommit, EarlyAnswers}},
		{"a split or powerless core", partitions(), []Guard{NoLeaseCheck, NoFencingWait, OldLeadersAnswer}},
		{"lost, racing and invalid orders", operatorDisruptions(),
			[]Guard{NoBaseCheck, NoOrderMemory, NoConfigCheck, NoEvacuationMark}},
		{"a leader short of connections", connectionShortages(), []Guard{UnsentStopsCount}},
	}
}
