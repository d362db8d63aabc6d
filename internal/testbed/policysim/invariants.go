package policysim

import (
	"time"

	"crosstide/internal/raft"
	"crosstide/internal/state"
)

// promises are the invariants that a run checks, by the names under which Report.Promise counts their cases.
var promises = []string{
	"once at a time", "not after it ended well", "newer ticket", "fence", "decided in office", "rebuilt", "durable",
	"ordered once", "not late", "cancelled starts nothing", "known", "done", "not idle beside room", "not passed over",
	"draining", "evacuated", "fits", "order once", "same log", "same state", "all ends", "linear",
}

// invariantChecker checks the invariants against what really happened: what was written to workers, what workers
// started and ended, what clients and operators were answered, and what disks have. Of the daemons it believes only the
// log, of which it keeps a copy from the first control-plane node that shows an entry as committed. It draws no random
// number and acts on nothing; faults and clients read what it knows.
//
// Every event of the simulation that matters to an invariant calls an observe method; the check methods judge. They
// stand by what they check: checklog.go, checkrole.go, checkruns.go, checkstart.go, checkprogress.go, and with
// Options.Parties checkbilling.go and checkbillingprogress.go.
type invariantChecker struct {
	sim       *sim
	reference *state.State             // the committed entries, applied
	grants    []uint64                 // epochs of the scheduler role, in order
	jobs      map[string]*clientJob    // by key; the clients add theirs and keep them
	evacuated map[string]time.Duration // since when a zone is, by the operators, who set and delete it
	committedLog
	runRecords
	dueTasks
}

func newInvariantChecker(s *sim) *invariantChecker {
	ic := &invariantChecker{sim: s, reference: state.New(), jobs: map[string]*clientJob{},
		evacuated:    map[string]time.Duration{},
		committedLog: committedLog{observed: map[*controlPlane]uint64{}},
		runRecords: runRecords{runIDs: map[uint64]*runIDHistory{}, ended: map[state.TaskRef][]*completion{},
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

// observeState takes in a change of the reference, made by the entry that is being applied.
func (ic *invariantChecker) observeState(event state.Event) {
	s := ic.sim
	switch event.Kind {
	case state.EventHandleCreated:
		ic.runIDs[event.Handle.RunID] = &runIDHistory{handle: *event.Handle}
	case state.EventHandleReleased:
		ic.runIDs[event.Handle.RunID].closedAt = s.now
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
