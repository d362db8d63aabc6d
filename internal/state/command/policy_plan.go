package command

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Plan is all that the holder of sched changes, in one commit: the inbox number written ahead, what minions
// said, what was proved, and the run IDs it wants. Every part is checked when it is applied, so a plan made on
// an old view changes nothing that moved on.
type Plan struct {
	Epoch         uint64         `json:"e"`           // of the duty sched; a plan of another epoch is refused whole
	BundleVersion uint64         `json:"v"`           // bundle version decided on; starts are refused under another
	Seq           uint64         `json:"q,omitempty"` // inbox messages up to it are taken in
	Workers       []state.Worker `json:"m,omitempty"` // as reported in answers
	Running       []uint64       `json:"r,omitempty"` // run IDs listed as running
	Unconfirmed   []uint64       `json:"u,omitempty"` // run IDs whose order or answer was lost
	Ends          []End          `json:"x,omitempty"` // ends listed
	Dead          []Proof        `json:"k,omitempty"` // handles proved dead
	Starts        []Start        `json:"s,omitempty"`
	// LeaseTTL is put into every handle of Starts: how long its minion may run on unheard.
	LeaseTTL time.Duration `json:"h,omitempty"`
}

// End is a listed end of a run. Ref is its task, by which an end is known whose handle was released meanwhile.
type End struct {
	RunID  uint64        `json:"t"`
	Ref    state.TaskRef `json:"f,omitzero"`
	OK     bool          `json:"ok"`
	Reason string        `json:"w,omitempty"`
}

// Proof kinds: why a handle without a listed end is surely dead.
const (
	ProofFloor          = "floor"  // the minion's floor is at or above it, and it neither runs nor ended
	ProofNewIncarnation = "boot"   // the minion runs under another boot
	ProofLeaseExpired   = "lapse"  // its hold has surely lapsed
	ProofUnsent         = "unsent" // its order never left this holder
	ProofRefuse         = "refuse" // the minion refused it
	ProofStop           = "stop"   // the minion stopped it on our word
)

// Proof says that a handle is dead and why.
type Proof struct {
	RunID  uint64 `json:"t"`
	Why    string `json:"w"`
	Reason string `json:"r,omitempty"`
}

// Start wants a run ID for a due task on a minion. Starts with the same Group above 0 get theirs together or
// not at all.
type Start struct {
	Ref         state.TaskRef `json:"r"`
	Worker      string        `json:"m"`
	Incarnation string        `json:"b"`
	Group       int           `json:"g,omitempty"`
}

// Planned answers Plan: a run ID or 0 for each of Starts, with a word on each refusal.
type Planned struct {
	RunIDs  []uint64 `json:"tickets,omitempty"`
	Refused []string `json:"refused,omitempty"`
}

// Op is "plan".
func (c *Plan) Op() string { return "plan" }

func (c *Plan) apply(s *state.State, index uint64) (any, error) {
	d := s.Roles["sched"]
	if d == nil || d.Epoch != c.Epoch || d.Holder == "" {
		return nil, errs.New(errs.Stale, "plan of epoch %d, the duty sched has moved on", c.Epoch)
	}
	s.AdmitJobs(c.Seq)
	for _, e := range c.Ends { // before the reports: a new boot lets go what did not end under the old one
		recordEnd(s, e)
	}
	for _, m := range c.Workers {
		recordReport(s, m)
	}
	for _, t := range c.Running {
		if h := s.Handles[t]; h != nil && h.Phase != state.TaskRunning {
			must(s.SetTaskPhase(h.Ref, state.TaskRunning, nil))
		}
	}
	for _, t := range c.Unconfirmed {
		if h := s.Handles[t]; h != nil && h.Phase != state.TaskUnconfirmed {
			must(s.SetTaskPhase(h.Ref, state.TaskUnconfirmed, nil))
		}
	}
	for _, p := range c.Dead {
		if h := s.Handles[p.RunID]; h != nil {
			if p.Why != ProofStop {
				s.RefundRun(h.RunID)
			}
			requeueTask(s, h, p.Reason, time.Time{})
		}
	}
	out := Planned{}
	if len(c.Starts) > 0 {
		out.RunIDs = make([]uint64, len(c.Starts))
		out.Refused = make([]string, len(c.Starts))
	}
	for i := 0; i < len(c.Starts); {
		n := i + 1
		for c.Starts[i].Group > 0 && n < len(c.Starts) && c.Starts[n].Group == c.Starts[i].Group {
			n++
		}
		c.start(s, i, n, &out)
		i = n
	}
	return out, nil
}

// start gives run IDs to c.Starts[i:n], all or none.
func (c *Plan) start(s *state.State, i, n int, out *Planned) {
	type need struct{ cores, gpus int }
	taken := map[string]need{}
	var paid fees
	for k := i; k < n; k++ {
		st := c.Starts[k]
		why := ""
		if c.BundleVersion != s.Bundle.Version {
			why = "charter version"
		} else {
			why = startRefusal(s, st)
		}
		if why == "" {
			j, _ := s.TaskOf(st.Ref)
			step := &j.Spec.Steps[st.Ref.Step]
			m, r, t := s.Workers[st.Worker], s.UsageOf(st.Worker), taken[st.Worker]
			t.cores += step.Cores
			t.gpus += step.GPUs
			taken[st.Worker] = t
			if r.Cores+t.cores > m.Cores || r.GPUs+t.gpus > m.GPUs {
				why = "room"
			} else {
				why = paid.refusal(s, st.Ref)
			}
		}
		if why != "" {
			for x := i; x < n; x++ {
				out.Refused[x] = why
			}
			return
		}
	}
	for k := i; k < n; k++ {
		st := c.Starts[k]
		j, _ := s.TaskOf(st.Ref)
		step := &j.Spec.Steps[st.Ref.Step]
		s.LastRunID++
		h := &state.Handle{RunID: s.LastRunID, Ref: st.Ref, Worker: st.Worker, Incarnation: st.Incarnation, Epoch: c.Epoch,
			BundleVersion: c.BundleVersion, Type: step.Type, Cores: step.Cores, GPUs: step.GPUs, LeaseTTL: s.Bundle.LeaseTTLFor(j.Spec.Queue, c.LeaseTTL)}
		must(s.SetTaskPhase(st.Ref, state.TaskAssigned, h))
		out.RunIDs[k] = s.LastRunID
	}
}

// refusal checks the preconditions of one run ID against the state at this very entry; "" lets it pass.
func startRefusal(s *state.State, st Start) string {
	j, t := s.TaskOf(st.Ref)
	switch {
	case t == nil || j.Phase != state.JobRunning:
		return "job"
	case t.Phase != state.TaskDue:
		return "task"
	case s.Workers[st.Worker] == nil || s.Workers[st.Worker].Incarnation != st.Incarnation:
		return "boot"
	}
	return s.PlacementRefusal(&j.Spec, &j.Spec.Steps[st.Ref.Step], s.Workers[st.Worker])
}

// recordReport takes in what a minion said of itself. Under a new boot its older runs are dead: its contract is that
// leftovers are killed before it reports under a new boot. An order that may still be under way to a minion that
// starts whatever it is told is another matter: its handle waits for the holder's proof.
func recordReport(s *state.State, m state.Worker) {
	old := s.Workers[m.Name]
	if old == nil {
		return // retired meanwhile
	}
	m.Closed, m.Addr = old.Closed, old.Addr
	s.PutWorker(&m)
	if m.Incarnation != old.Incarnation {
		for _, t := range s.RunIDsOn(m.Name) {
			if h := s.Handles[t]; h.Incarnation != m.Incarnation && (m.Kind != "obey" || h.Phase == state.TaskRunning) {
				s.RefundRun(h.RunID)
				requeueTask(s, h, "the minion came back under a new boot", time.Time{})
			}
		}
	}
}

// recordEnd takes in a listed end. An end in failure is tried again after a back-off, up to the step's retries.
func recordEnd(s *state.State, e End) {
	h := s.Handles[e.RunID]
	if h == nil {
		recordLateEnd(s, e)
		return
	}
	j, t := s.TaskOf(h.Ref)
	step := &j.Spec.Steps[h.Ref.Step]
	if e.OK {
		must(s.SetTaskPhase(h.Ref, state.TaskDone, nil))
		return
	}
	t.Failures++
	t.Reason = e.Reason
	if t.Failures > s.Bundle.RetriesFor(j.Spec.Queue, step.Retries) && !step.LongRunning && j.Phase == state.JobRunning {
		reason := "step " + step.Name + " gave up: " + e.Reason
		must(s.SetTaskPhase(h.Ref, state.TaskFailed, nil))
		s.StopJob(j, state.JobFailed, reason)
		return
	}
	b := s.Bundle.Backoff
	wait := b.Max
	if t.Failures < 16 {
		wait = min(b.Max, b.Min<<(t.Failures-1))
	}
	requeueTask(s, h, e.Reason, s.At.Add(wait))
}

// recordLateEnd takes in that a run ended well whose handle was released by a proof before its end was heard. It counts as
// long as no newer run ID was given for its task.
func recordLateEnd(s *state.State, e End) {
	if _, t := s.TaskOf(e.Ref); e.OK && t != nil && t.RunID == e.RunID && t.Phase == state.TaskDue {
		must(s.SetTaskPhase(e.Ref, state.TaskDone, nil))
	}
}

// requeueTask releases a handle without an end that counts: the task is due again, or skipped when its job stops.
func requeueTask(s *state.State, h *state.Handle, reason string, due time.Time) {
	j, t := s.TaskOf(h.Ref)
	t.DueAt = due
	if reason != "" {
		t.Reason = reason
	}
	if due.IsZero() {
		t.Lost++
	}
	to := state.TaskDue
	if j.Phase != state.JobRunning {
		to = state.TaskSkipped
	}
	must(s.SetTaskPhase(h.Ref, to, nil))
}

// must is for moves whose table entry the caller has just checked: a refusal is a failure of ours and must not
// leave nodes apart, so it stops the process.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
