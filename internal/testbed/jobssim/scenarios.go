package jobssim

// Scenario is a set of disruptions, and the guards whose removal leads to a violation under these disruptions.
// docs/design/failure-scenarios.md explains each scenario.
type Scenario struct {
	Name        string
	Disruptions []Disruption
	Guards      []Guard
}

// Scenarios returns the six scenarios. Every disruption and every guard belongs to one of them.
func Scenarios() []Scenario {
	return []Scenario{
		{"overload and jobs that always fail", overloads(),
			[]Guard{NoAttemptBound, NoCapacityCheck, NoJobDeduplication, NoBackfill}},
		{"unhealthy, slow, late and leaving workers", workerDisruptions(),
			[]Guard{UnconfirmedIsDead, UnconfirmedReservesNothing, NoDrainMark, NoLeaveMark, StaleHeartbeatsCount}},
		{"lost, frozen, wiped and killed machines, slow disks", machineDisruptions(),
			[]Guard{EarlyAcknowledgement, StartBeforeCommit, EarlyAnswers}},
		{"a partitioned or stopped core", partitions(), []Guard{NoLeaseCheck, NoFencingWait, OldLeadersAnswer}},
		{"lost, concurrent and invalid configuration changes", operatorDisruptions(),
			[]Guard{NoBaseCheck, NoChangeDeduplication, NoConfigCheck, NoEvacuationMark}},
		{"a leader short of connections", connectionShortages(), []Guard{UnsentStopsCount}},
	}
}
