package policysim

import (
	"slices"
	"time"
)

// fault is a kind of disruption. Most faults are injected at random times into random processes. A fault without inject
// is a rate that faultInjector.start sets, or an action of the clients.
type fault struct {
	name    string
	counter string // key of its count in Report.Faults
	inject  func(f *faultInjector, targets faultTargets)
}

// faultTargets are the processes drawn for a fault, one of each kind. A fault uses only those that it needs.
type faultTargets struct {
	controlPlane *controlPlane
	dataPlane    *dataPlane
	worker       *worker
}

// faults lists all faults. Its order is part of every history: the injector draws from it by index.
var faults = []fault{
	{"net", "lose", nil}, // lost, delayed and duplicated messages, crossed answers
	{"kill", "kill", (*faultInjector).killControlPlane},                 // a control-plane node is killed and restarts
	{"power", "power", (*faultInjector).cutPower},                       // the same, and it loses unsynced data
	{"blackout", "blackout", (*faultInjector).blackOut},                 // all control-plane nodes lose power at once
	{"wipe", "wipe", (*faultInjector).wipeDisk},                         // a control-plane node loses its disk, rejoins
	{"sync", "sync failed", (*faultInjector).failSync},                  // a sync fails, which ends the process
	{"slow", "slow", (*faultInjector).slowDisk},                         // syncs take long
	{"freeze", "freeze", (*faultInjector).freezeNode},                   // a control- or data-plane node freezes
	{"holder", "holder", (*faultInjector).disturbRoleHolder},            // the role holder is killed, frozen, isolated
	{"dkill", "dkill", (*faultInjector).killDataPlane},                  // a data-plane node is killed, restarts empty
	{"leave", "leave", (*faultInjector).shutDownDataPlane},              // a data-plane node shuts down
	{"split", "split", (*faultInjector).splitNetwork},                   // a random partition into two halves
	{"oneway", "oneway", (*faultInjector).splitNetworkOneWay},           // the same, but one direction still works
	{"island", "island", (*faultInjector).isolateZoneOrScheduler},       // a zone or the role holder is isolated
	{"cut", "cut", (*faultInjector).isolateOne},                         // one machine is isolated
	{"stall", "stall", (*faultInjector).freezeWorker},                   // a worker freezes
	{"boot", "boot", (*faultInjector).restartWorker},                    // a worker restarts as another incarnation
	{"late", "late order", nil},                                         // workers carry out orders late
	{"lost", "lost at the minion", nil},                                 // answers of workers are lost
	{"drain", "drain", (*faultInjector).drainWorker},                    // a worker drains for a while
	{"zone", "zone", (*faultInjector).evacuateZone},                     // operators evacuate a zone and lift it later
	{"cancel", "cancel", nil},                                           // clients cancel jobs
	{"lag", "lag", (*faultInjector).lagReplicas},                        // replicas lag, then the role holder is killed
	{"rejoin", "rejoin", (*faultInjector).rejoinWiped},                  // a wiped member joins two that lack entries
	{"staleplan", "staleplan", (*faultInjector).freezeWithPlanInFlight}, // a frozen role holder wakes when replaced
}

// Faults are the names for Options.Faults, in the order of the table.
var Faults = faultNames()

func faultNames() (names []string) {
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// faultCounter returns the key of a fault's count in Report.Faults, or "" if the name is unknown.
func faultCounter(name string) string {
	if i := faultIndex(name); i >= 0 {
		return faults[i].counter
	}
	return ""
}

// faultIndex returns the index of a fault in the table, or -1 if the name is unknown.
func faultIndex(name string) int {
	return slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
}

// Guards are the names for Options.WithoutGuard: safeguards of the daemons that a run can disable, to verify that the
// checker detects their absence.
var Guards = []string{
	"epoch",   // the store does not check a plan's epoch
	"rebuild", // a role holder decides before its replica has reached its grant
	"floor",   // workers ignore the floor of run IDs and the time after which an order is invalid
	"sync",    // a control-plane node answers before its log is synced
	"learner", // a wiped control-plane node votes under its old name
	"reserve", // the scheduler reserves no capacity for tasks that fit nowhere now
	"balance", // accounts have a credit that is never exhausted, so the store's check of a start always passes
	"lease",   // role holders get longer leases than the granter keeps
}

// faultInjector injects faults until Options.FaultPeriod has passed, and then ends them all.
type faultInjector struct {
	sim          *sim
	enabled      map[string]bool // by the names in Options.Faults
	meanInterval time.Duration   // mean time between two faults
	wiped        *controlPlane   // the node wiped last; nil: none. No other is wiped until it votes again
}

// start sets the rates of the faults without inject, and schedules the first injection and the end of all faults.
func (f *faultInjector) start() {
	s := f.sim
	f.meanInterval = s.between(200*time.Millisecond, 2500*time.Millisecond)
	if s.options.MeanFaultInterval > 0 {
		f.meanInterval = s.options.MeanFaultInterval
	}
	f.enabled = map[string]bool{}
	for _, name := range s.options.Faults {
		f.enabled[name] = true
	}
	if f.enabled["net"] {
		s.network.lossRate, s.network.duplicateRate = s.rng.Float64()*0.02, s.rng.Float64()*0.05
		s.network.delayRate, s.network.maxDelay = s.rng.Float64()*0.05,
			s.between(10*time.Millisecond, 1500*time.Millisecond)
		s.network.crossedAnswerRate = s.rng.Float64() * 0.005
	}
	for _, w := range s.workers {
		if f.enabled["late"] {
			w.lateOrderRate = s.rng.Float64() * 0.3
		}
		if f.enabled["lost"] {
			w.answerLossRate = s.rng.Float64() * 0.05
		}
	}
	s.schedule(s.between(2*time.Second, 6*time.Second), f.injectNext)
	s.schedule(s.options.FaultPeriod, f.stop)
}

// stop ends all faults.
func (f *faultInjector) stop() {
	s := f.sim
	s.trace("faults end")
	s.faultsEnded = true
	s.network = network{}
	for _, w := range s.workers {
		w.lateOrderRate, w.answerLossRate = 0, 0
		w.wake()
		w.drain(false)
	}
	for _, c := range s.controlPlanes {
		c.syncDelay, c.failNextSync = 0, false
		c.wake()
	}
	for _, d := range s.dataPlanes {
		d.lagUntil = 0
		d.wake()
	}
}

func (f *faultInjector) injectNext() {
	s := f.sim
	if s.faultsEnded {
		return
	}
	if len(s.options.Faults) > 0 {
		f.inject(s.options.Faults[s.rng.IntN(len(s.options.Faults))])
	}
	s.schedule(s.between(0, 2*f.meanInterval), f.injectNext)
}

// inject draws targets for every fault, even one that uses none: later draws must not depend on which faults use them.
func (f *faultInjector) inject(name string) {
	s := f.sim
	targets := faultTargets{pick(s, s.controlPlanes), pick(s, s.dataPlanes), pick(s, s.workers)}
	if i := faultIndex(name); i >= 0 && faults[i].inject != nil {
		faults[i].inject(f, targets)
	}
}

// count counts a case of a fault at a process, and traces it by its description.
func (f *faultInjector) count(name string, p *process, description string) {
	f.sim.report.Faults[name]++
	f.sim.trace("fault %s %s", description, p.addr)
}

// drawDuration draws the duration of a fault: mostly a short one, in a quarter of the cases longer than every lease.
func (f *faultInjector) drawDuration() time.Duration {
	s := f.sim
	switch s.rng.IntN(4) {
	case 0:
		return s.between(10*time.Millisecond, 600*time.Millisecond)
	case 1:
		return s.between(15*time.Second, 30*time.Second)
	}
	return s.between(500*time.Millisecond, 8*time.Second)
}
