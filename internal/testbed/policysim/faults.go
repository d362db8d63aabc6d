package policysim

import (
	"slices"
	"time"
)

// fault is a kind of disruption. Most faults are injected at random times into random processes; the others, without
// inject, are rates that faultInjector.start sets, or actions of the clients.
type fault struct {
	name    string
	counter string // the key of Report.Faults that counts its cases
	inject  func(f *faultInjector, at targets)
}

// targets are the processes drawn for a fault, one of each kind. A fault uses those that it needs.
type targets struct {
	controlPlane *controlPlane
	dataPlane    *dataPlane
	worker       *worker
}

// faults is the table of all faults. Its order is part of every history: the injector draws from it by index.
var faults = []fault{
	{"net", "lose", nil}, // lost, delayed, doubled messages, crossed answers
	{"kill", "kill", (*faultInjector).killControlPlane},            // a process ends and comes back
	{"power", "power", (*faultInjector).cutPower},                  // the same, with the loss of what was not synced
	{"blackout", "blackout", (*faultInjector).blackOut},            // all control-plane nodes lose power at once
	{"wipe", "wipe", (*faultInjector).wipeDisk},                    // a control-plane node loses its disk, joins anew
	{"sync", "sync failed", (*faultInjector).failSync},             // a sync fails, the process ends
	{"slow", "slow", (*faultInjector).slowDisk},                    // syncs take long
	{"freeze", "freeze", (*faultInjector).freezeNode},              // a control- or data-plane node freezes and wakes
	{"holder", "holder", (*faultInjector).disturbRoleHolder},       // the role holder is killed, frozen or cut off
	{"dkill", "dkill", (*faultInjector).killDataPlane},             // a data-plane node ends, comes back with nothing
	{"leave", "leave", (*faultInjector).shutDownDataPlane},         // a data-plane node shuts down
	{"split", "split", (*faultInjector).splitNetwork},              // the machines fall into two partitions
	{"oneway", "oneway", (*faultInjector).splitNetworkOneWay},      // bytes go one way only
	{"island", "island", (*faultInjector).isolateZoneOrScheduler},  // a zone, or the role holder with some workers
	{"cut", "cut", (*faultInjector).isolateOne},                    // one machine is cut off
	{"stall", "stall", (*faultInjector).freezeWorker},              // a worker freezes and wakes
	{"boot", "boot", (*faultInjector).restartWorker},               // a worker comes back as another incarnation
	{"late", "late order", nil},                                    // workers carry out orders late
	{"lost", "lost at the minion", nil},                            // workers lose answers
	{"drain", "drain", (*faultInjector).drainWorker},               // a worker drains for a while
	{"zone", "zone", (*faultInjector).evacuateZone},                // operators evacuate a zone and lift it
	{"cancel", "cancel", nil},                                      // clients cancel
	{"lag", "lag", (*faultInjector).lagReplicas},                   // replicas lag, then the role holder ends
	{"rejoin", "rejoin", (*faultInjector).rejoinWiped},             // a wiped member joins two that lack entries
	{"staleplan", "staleplan", (*faultInjector).freezeWithPlanOut}, // the role holder wakes when it is replaced
}

// Faults are the names for Options.Faults, in the order of the table.
var Faults = faultNames()

func faultNames() (names []string) {
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// faultCounter returns the key of Report.Faults that counts a fault; "" if there is no fault of the name.
func faultCounter(name string) string {
	if i := faultIndex(name); i >= 0 {
		return faults[i].counter
	}
	return ""
}

// faultIndex returns the index of a fault in the table; negative if there is no fault of the name.
func faultIndex(name string) int {
	return slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
}

// Guards are the names for Options.WithoutGuard: safeguards of the daemons that a run can disable, to show that the
// checker detects their absence.
var Guards = []string{
	"epoch",   // the store does not check a plan's epoch
	"rebuild", // a role holder decides before its replica has reached its grant
	"floor",   // workers ignore the floor of call numbers and the time after which an order is invalid
	"sync",    // a control-plane node answers before its log is synced
	"learner", // a wiped control-plane node votes under its old name
	"reserve", // the scheduler reserves no capacity for tasks that fit nowhere now
	"balance", // accounts have a credit that is never exhausted, so the store's check of a start always passes
	"lease",   // role holders get longer leases than the granter keeps
}

// faultInjector injects faults until Options.FaultPeriod is over, and then ends them all.
type faultInjector struct {
	sim     *sim
	enabled map[string]bool // by the names in Options.Faults
	pace    time.Duration   // mean time between two faults
	wiped   *controlPlane   // the node wiped last; nil: none. No other is wiped before it votes again
}

// start sets the rates of the faults that have one, and schedules the first of the others.
func (f *faultInjector) start() {
	s := f.sim
	f.pace = s.between(200*time.Millisecond, 2500*time.Millisecond)
	if s.options.MeanFaultInterval > 0 {
		f.pace = s.options.MeanFaultInterval
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
	s.faultsOver = true
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
	if s.faultsOver {
		return
	}
	if len(s.options.Faults) > 0 {
		f.inject(s.options.Faults[s.rng.IntN(len(s.options.Faults))])
	}
	s.schedule(s.between(0, 2*f.pace), f.injectNext)
}

// inject draws targets for every fault, also if it uses none, so that later draws do not depend on which faults use
// them.
func (f *faultInjector) inject(name string) {
	s := f.sim
	at := targets{pick(s, s.controlPlanes), pick(s, s.dataPlanes), pick(s, s.workers)}
	if i := faultIndex(name); i >= 0 && faults[i].inject != nil {
		faults[i].inject(f, at)
	}
}

// count counts a case of a fault at a process. what names the fault in the trace.
func (f *faultInjector) count(name string, at *process, what string) {
	f.sim.report.Faults[name]++
	f.sim.trace("fault %s %s", what, at.addr)
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
