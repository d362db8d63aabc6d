package policysim

import (
	"time"

	"crosstide/internal/raft"
	"crosstide/internal/state"
)

// invariants are the names of the invariants that every run checks, and the keys of Report.Cases.
var invariants = []string{
	"once at a time", "not after it ended well", "newer ticket", "fence", "decided in office", "rebuilt", "durable",
	"ordered once", "not late", "cancelled starts nothing", "known", "done", "not idle beside room", "not passed over",
	"draining", "evacuated", "fits", "order once", "same log", "same state", "all ends", "linear",
}

// invariantChecker checks the invariants against observed events: the calls sent to workers, the starts and ends in
// workers' journals, the answers to clients and operators, and the content of disks. Of the daemons' own records it
// trusts only the log: it takes each entry from the first control-plane node that shows it as committed, and applies it
// to a reference state. It draws no random number and changes nothing; faults and clients read its records.
//
// Every event of the simulation that affects an invariant calls an observe method; the check methods report violations.
// Each file has the checks of one subject: checklog.go, checkrole.go, checkruns.go, checkstart.go, checkprogress.go,
// and for parties checkbilling.go and checkbillingprogress.go.
type invariantChecker struct {
	sim       *sim
	reference *state.State             // the state after all committed entries
	grants    []uint64                 // epochs of the grants of the scheduler role, ascending
	jobs      map[string]*clientJob    // by key; added and updated by the clients
	evacuated map[string]time.Duration // when a zone's evacuation was acknowledged; set and deleted by operators.go
	committedLog
	runRecords
	dueTasks
}

func newInvariantChecker(s *sim) *invariantChecker {
	ic := &invariantChecker{sim: s, reference: state.New(), jobs: map[string]*clientJob{},
		evacuated:    map[string]time.Duration{},
		committedLog: committedLog{compared: map[*controlPlane]uint64{}},
		runRecords: runRecords{runIDs: map[uint64]*runIDHistory{}, completions: map[state.TaskRef][]*completion{},
			newestOrder: map[*worker]uint64{}},
		dueTasks: dueTasks{dueAt: map[state.TaskRef]time.Duration{}, idleSince: map[state.TaskRef]time.Duration{}},
	}
	for _, m := range initialMembers() {
		ic.members = append(ic.members, raft.Member{ID: m.ID, Addr: m.Addr, Zone: m.Zone})
	}
	ic.reference.Index, ic.reference.Term = 1, 1
	ic.reference.OnEvent = ic.observeState
	s.schedule(time.Second, ic.compareStates)
	s.schedule(time.Second, ic.checkWaiting)
	return ic
}

// observeState records a change that the entry being applied makes to the reference state.
func (ic *invariantChecker) observeState(event state.Event) {
	s := ic.sim
	switch event.Kind {
	case state.EventHandleCreated:
		ic.runIDs[event.Handle.RunID] = &runIDHistory{handle: *event.Handle}
	case state.EventHandleReleased:
		ic.runIDs[event.Handle.RunID].releasedAt = s.now
		s.trace("ticket %d of %v is closed", event.Handle.RunID, event.Ref)
	case state.EventRoleChanged:
		if role := ic.reference.Roles[event.Name]; role.Holder != "" {
			ic.grants = append(ic.grants, role.Epoch)
			s.trace("sched is granted to %s, epoch %d", role.Holder, role.Epoch)
		}
	case state.EventTaskDue:
		_, task := ic.reference.TaskOf(event.Ref)
		ic.dueAt[event.Ref] = s.now
		if wait := task.DueAt.Sub(ic.reference.At); !task.DueAt.IsZero() && wait > 0 {
			ic.dueAt[event.Ref] += wait
		}
	}
}
