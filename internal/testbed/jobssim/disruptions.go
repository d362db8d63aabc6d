package jobssim

import (
	"slices"
	"time"
)

// Disruption is a kind of disruption. Its value is its name in traces and in the settings of TestHunt.
type Disruption string

// The disruptions.
const (
	LeaderFreeze           Disruption = "leader freezes"
	LeaderCut              Disruption = "leader is cut off"
	LeaderKill             Disruption = "leader is killed"
	MemberWiped            Disruption = "member of the core loses its disk"
	ZoneLost               Disruption = "zone loses power"
	RackLost               Disruption = "rack is cut off or loses power"
	ManyKilled             Disruption = "many processes are killed at once"
	CoreOutage             Disruption = "whole core is down"
	SlowCommits            Disruption = "commits are slow"
	NodeLinkCut            Disruption = "worker cut from one node"
	WorkerCrash            Disruption = "worker crashes"
	WorkerCut              Disruption = "worker is cut off"
	WorkerDrain            Disruption = "worker drains"
	WorkerLeaves           Disruption = "worker deregisters first, serves on and ends"
	WorkerFlaps            Disruption = "worker goes down and up by turns"
	WorkerReportsUnhealthy Disruption = "worker says that it is sick and is well"
	WorkerFailsPart        Disruption = "worker says that it is well and fails part of its work"
	HeartbeatsDelayed      Disruption = "heartbeats of a worker come late and out of order"
	WorkerHang             Disruption = "tasks of a worker stand still"
	WorkerSlow             Disruption = "worker is slow"
	WorkerFailsAll         Disruption = "worker fails all"
	WorkerLate             Disruption = "worker carries orders out late"
	WorkerAnswersLost      Disruption = "answers of a worker are lost"
	Reconfigure            Disruption = "configuration changes"
	ConfigRace             Disruption = "two operators change the configuration at once"
	BadConfig              Disruption = "invalid configuration is sent"
	AckLost                Disruption = "acknowledgements to the operator are lost"
	Evacuation             Disruption = "zone is evacuated"
	MassCancel             Disruption = "many jobs are cancelled"
	Burst                  Disruption = "wide jobs come at once"
	UrgentStorm            Disruption = "urgent jobs come at once"
	LargeGangs             Disruption = "jobs that need a whole service come before small ones"
	FailingJobs            Disruption = "jobs that can never be done come at once"
	Shortage               Disruption = "calls of the leader find no connection"
)

// The following functions return the disruptions of each scenario. Every disruption belongs to one scenario.

func overloads() []Disruption {
	return []Disruption{Burst, UrgentStorm, LargeGangs, FailingJobs, MassCancel}
}

func workerDisruptions() []Disruption {
	return []Disruption{WorkerCut, WorkerDrain, WorkerLeaves, WorkerFlaps, WorkerReportsUnhealthy, WorkerFailsPart,
		WorkerHang, WorkerSlow, WorkerFailsAll, WorkerLate, WorkerAnswersLost, HeartbeatsDelayed}
}

func machineDisruptions() []Disruption {
	return []Disruption{LeaderFreeze, LeaderKill, MemberWiped, ZoneLost, RackLost, ManyKilled, SlowCommits, WorkerCrash}
}

func partitions() []Disruption { return []Disruption{LeaderCut, CoreOutage, NodeLinkCut} }

func connectionShortages() []Disruption { return []Disruption{Shortage} }

func operatorDisruptions() []Disruption {
	return []Disruption{Reconfigure, ConfigRace, BadConfig, AckLost, Evacuation}
}

// Disruptions returns all kinds of disruptions.
func Disruptions() []Disruption {
	return slices.Concat(overloads(), workerDisruptions(), machineDisruptions(), partitions(), operatorDisruptions(),
		connectionShortages())
}

// contactTimeout is the time after a disruption by which the affected machines communicate again.
const contactTimeout = 3 * time.Second

// disruptionEnds holds the times at which the latest disruptions end.
type disruptionEnds struct {
	coreUntil time.Duration // of disruptions of the core
	anyUntil  time.Duration // of all disruptions except configuration changes, cancels and new workers
}

// markCoreDisrupted records a disruption of the core that lasts until a time.
func (s *simulator) markCoreDisrupted(until time.Duration) {
	s.disrupted.coreUntil = max(s.disrupted.coreUntil, until)
	s.markDisrupted(until)
}

// markDisrupted records a disruption that lasts until a time.
func (s *simulator) markDisrupted(until time.Duration) {
	s.disrupted.anyUntil = max(s.disrupted.anyUntil, until)
}

// isCoreStable reports whether the last disruption of the core ended, and the run began, more than contactTimeout ago.
func (s *simulator) isCoreStable() bool {
	return s.now > s.disrupted.coreUntil+contactTimeout && s.now > contactTimeout
}

// undisruptedSince reports whether all disruptions so far ended more than 2*contactTimeout before since.
func (s *simulator) undisruptedSince(since time.Duration) bool {
	return since > s.disrupted.anyUntil+2*contactTimeout
}

// isDisrupting reports whether disruptions are still injected.
func (s *simulator) isDisrupting() bool {
	return s.now < s.options.DisruptionPeriod && (s.options.Disruptions == nil || len(s.options.Disruptions) > 0)
}

// planDisruptions schedules the disruptions. They are injected in periods, with pauses between them.
func (s *simulator) planDisruptions() {
	kinds := s.options.Disruptions
	if kinds == nil {
		kinds = Disruptions()
	}
	if len(kinds) == 0 {
		return
	}
	s.after(s.between(3*time.Second, 5*time.Second), func() { s.disruptForPeriod(kinds) })
	if slices.Contains(kinds, CoreOutage) && s.chance(0.3) {
		s.clients.faultPending = true
		s.after(s.options.DisruptionPeriod, s.finalFault)
	}
}

// finalFault stops the whole core, and submits jobs recoveryTime after the machines are back.
func (s *simulator) finalFault() {
	if !s.outage() {
		s.after(500*time.Millisecond, s.finalFault)
		return
	}
	s.report.Disruptions[CoreOutage]++
	s.trace("final fault")
	s.after(s.disrupted.coreUntil-s.now+recoveryTime, func() {
		for range 8 {
			s.clients.submitNew(s.clients.shortJob()).afterFault = true
		}
		s.clients.faultPending = false
	})
}

// disruptForPeriod injects disruptions for a random period and schedules the next period.
func (s *simulator) disruptForPeriod(kinds []Disruption) {
	end := min(s.now+s.between(4*time.Second, 14*time.Second), s.options.DisruptionPeriod)
	var next func()
	next = func() {
		if s.now >= end {
			if s.now < s.options.DisruptionPeriod {
				s.after(s.between(2*time.Second, 12*time.Second), func() { s.disruptForPeriod(kinds) })
			}
			return
		}
		s.disrupt(kinds[s.rng.IntN(len(kinds))])
		pause := s.between(100*time.Millisecond, 1500*time.Millisecond)
		s.after(time.Duration(float64(pause)/s.options.DisruptionRate), next)
	}
	next()
}

// disrupt injects a disruption, if it is possible at present.
func (s *simulator) disrupt(kind Disruption) {
	made := true
	host := s.hosts[s.rng.IntN(len(s.hosts))]
	switch kind {
	case LeaderFreeze, LeaderCut, LeaderKill:
		made = s.loseLeader(kind)
	case CoreOutage:
		made = s.outage()
	case SlowCommits:
		d := s.between(time.Second, 5*time.Second)
		s.log.slowUntil = s.now + d
		s.markCoreDisrupted(s.now + d + maxSlowCommitDelay)
	case MemberWiped:
		made = s.wipeMember()
	case ZoneLost:
		made = s.loseZone()
	case RackLost:
		s.loseRack(host.rack)
	case ManyKilled:
		made = s.killMany()
	case Reconfigure:
		s.operator.reconfigure()
	case ConfigRace:
		made = s.operator.race()
	case BadConfig:
		s.operator.sendInvalid()
	case AckLost:
		s.operator.acknowledgementsLostUntil = s.now + s.between(time.Second, 5*time.Second)
	case Evacuation:
		s.operator.evacuate()
	case MassCancel:
		s.clients.cancelMany()
	case Burst:
		s.clients.burst()
	case UrgentStorm:
		s.clients.urgentStorm()
	case LargeGangs:
		made = s.clients.submitLargeJobs()
	case FailingJobs:
		s.clients.submitFailingJobs()
	case Shortage:
		made = s.beginShortage()
	default:
		made = s.disruptWorker(kind, host)
	}
	if made {
		s.report.Disruptions[kind]++
		s.trace("disruption: %s (%s)", kind, host.address)
	}
}

// loseLeader freezes, disconnects or kills the leader, and schedules an election. It returns false unless there
// is a leader and the other running nodes are a majority.
func (s *simulator) loseLeader(kind Disruption) bool {
	n := s.log.leader
	if n == nil || !s.majorityWithout(n) {
		return false
	}
	s.log.endLeadership()
	downtime := s.between(time.Second, 6*time.Second)
	switch kind {
	case LeaderFreeze:
		n.frozenUntil = s.now + downtime
		n.after(s.between(0, 300*time.Millisecond), func() { n.learnNewerTerm() })
	case LeaderCut:
		n.isCutOff = true
		s.after(downtime, func() {
			n.isCutOff = false
			n.after(s.between(0, 300*time.Millisecond), n.learnNewerTerm)
		})
	default:
		n.kill()
		s.after(downtime, n.startProcess)
	}
	election := s.between(minElectionTime, maxElectionTime)
	s.after(election, s.log.elect)
	s.markCoreDisrupted(s.now + max(downtime, election) + 300*time.Millisecond)
	return true
}

// learnNewerTerm makes a former leader step down when it learns of a newer term.
func (n *node) learnNewerTerm() {
	if n.sim.log.leader != n {
		n.stepDown()
	}
}

// majorityWithout reports whether the running nodes other than n are a majority.
func (s *simulator) majorityWithout(n *node) bool {
	running := 0
	for _, other := range s.nodes {
		if other != n && other.isRunning() {
			running++
		}
	}
	return running > len(s.nodes)/2
}

// outage stops all nodes of the core for a while. It returns false if there is no leader.
func (s *simulator) outage() bool {
	if s.log.leader == nil {
		return false
	}
	s.log.endLeadership()
	longest := s.between(500*time.Millisecond, 8*time.Second)
	for _, n := range s.nodes {
		n.kill()
		n.frozenUntil, n.isCutOff = 0, false
		s.after(s.between(longest/2, longest), n.startProcess)
	}
	s.after(longest+s.between(0, time.Second), s.log.elect)
	s.markCoreDisrupted(s.now + longest + maxElectionTime)
	return true
}

// disruptWorker disrupts the worker on a host. It returns false if no worker is running or it drains or leaves already.
func (s *simulator) disruptWorker(kind Disruption, host *workerHost) bool {
	w := host.current
	if w == nil || w.isDraining || w.isLeaving {
		return false
	}
	d := s.between(time.Second, 10*time.Second)
	host.disruptedUntil = s.now + d
	if disrupt := workerDisruptors[kind]; disrupt != nil {
		d = disrupt(w, d)
	}
	host.disruptedUntil = s.now + d
	s.checker.workerLost(w)
	s.markDisrupted(s.now + d)
	return true
}

// workerDisruptors holds functions that disrupt a worker for d and return for how long its host counts as disrupted.
var workerDisruptors = map[Disruption]func(w *workerIncarnation, d time.Duration) time.Duration{
	NodeLinkCut:            (*workerIncarnation).cutFromNode,
	WorkerCrash:            (*workerIncarnation).crash,
	WorkerCut:              (*workerIncarnation).cutFromCore,
	WorkerDrain:            (*workerIncarnation).drainAndReplace,
	WorkerLeaves:           (*workerIncarnation).leaveAndReplace,
	WorkerFlaps:            (*workerIncarnation).flap,
	WorkerReportsUnhealthy: (*workerIncarnation).reportUnhealthy,
	WorkerFailsPart:        (*workerIncarnation).failPart,
	HeartbeatsDelayed:      (*workerIncarnation).delayHeartbeats,
	WorkerHang:             (*workerIncarnation).hang,
	WorkerSlow:             (*workerIncarnation).slowDown,
	WorkerFailsAll:         (*workerIncarnation).failAll,
	WorkerLate:             (*workerIncarnation).delayOrders,
	WorkerAnswersLost:      (*workerIncarnation).loseAnswers,
}
