// Package state is the replicated state of the control store: jobs, tasks, run handles, minions, duties, the
// bundle in force. It changes only through package command, step by step in the order of the log, and is the
// same on every node that applied the same entries. Package query reads it.
package state

import (
	"cmp"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/codec"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// JobPhase is where a job stands.
type JobPhase string

const (
	JobAccepted  JobPhase = "accepted"  // in the inbox, not yet read by the holder of sched
	JobRunning   JobPhase = "running"   // admitted: its tasks fall due step by step
	JobStopping  JobPhase = "stopping"  // its outcome is fixed, handles are still out
	JobDone      JobPhase = "done"      // every task ended well
	JobFailed    JobPhase = "fault"     // a task was given up
	JobCancelled JobPhase = "cancelled" // a client cancelled it and nothing of it runs any more
)

// IsTerminal tells whether the phase is final.
func (p JobPhase) IsTerminal() bool { return p == JobDone || p == JobFailed || p == JobCancelled }

// TaskPhase is where a task stands. Only State.move changes it.
type TaskPhase string

const (
	TaskWaiting     TaskPhase = ""  // its step waits for others, or the job is in the inbox
	TaskDue         TaskPhase = "d" // wants a run ID, from Task.DueAt on
	TaskAssigned    TaskPhase = "h" // has a run ID; not yet listed as running
	TaskRunning     TaskPhase = "r" // listed as running
	TaskUnconfirmed TaskPhase = "?" // an answer about it was lost; waits for proof
	TaskDone        TaskPhase = "e" // ended well; final
	TaskFailed      TaskPhase = "x" // given up after its retries; final
	TaskSkipped     TaskPhase = "s" // never to run: the job was cancelled or gave up; final
)

// IsTerminal tells whether the phase is final.
func (p TaskPhase) IsTerminal() bool { return p == TaskDone || p == TaskFailed || p == TaskSkipped }

// HasHandle tells whether a handle is out for a task in this phase.
func (p TaskPhase) HasHandle() bool {
	return p == TaskAssigned || p == TaskRunning || p == TaskUnconfirmed
}

// Task is one task of a step.
type Task struct {
	Phase    TaskPhase `json:"p,omitempty"`
	Failures int       `json:"n,omitempty"` // ends in failure so far
	Lost     int       `json:"l,omitempty"` // handles proved dead without an end
	RunID    uint64    `json:"t,omitempty"` // the newest run ID given
	DueAt    time.Time `json:"d,omitzero"`  // store time from which it may start
	Reason   string    `json:"w,omitempty"` // of the last failure
}

// Spec is what a client hands in. Its JSON is the body of POST /v1/jobs.
type Spec struct {
	Key   string     `json:"key"`
	Team  string     `json:"team"`
	Queue string     `json:"queue"`
	Steps []StepSpec `json:"steps"`
}

// StepSpec is one step: Tasks equal tasks of one type, after the steps named.
type StepSpec struct {
	Name        string            `json:"name"`
	Type        string            `json:"type"`
	After       []string          `json:"after,omitempty"`
	Tasks       int               `json:"tasks"`
	Cores       int               `json:"cores"`
	GPUs        int               `json:"gpus,omitempty"`
	Labels      map[string]string `json:"labels,omitempty"`
	Retries     int               `json:"retries"`
	Run         json.RawMessage   `json:"run,omitempty"`
	LongRunning bool              `json:"standing,omitempty"`
	Gang        bool              `json:"gang,omitempty"`
}

// Job is a job in the store.
type Job struct {
	Spec        Spec      `json:"spec"`
	Digest      string    `json:"digest"`
	Phase       JobPhase  `json:"phase"`
	Outcome     JobPhase  `json:"outcome,omitempty"` // while stopping: what it will be
	Reason      string    `json:"reason,omitempty"`
	Seq         uint64    `json:"seq"` // inbox sequence number
	SubmittedAt time.Time `json:"at"`
	EndedAt     time.Time `json:"ended,omitzero"`
	Tasks       [][]Task  `json:"tasks"` // by step, by task

	remaining []int // tasks of each step that have not ended well
	handles   int   // handles out
	steps     map[string]int
}

// HasHandle is how many handles of the job are out.
func (j *Job) HandleCount() int { return j.handles }

// TaskRef names a task.
type TaskRef struct {
	Job  string `json:"j"`
	Step int    `json:"s"`
	Task int    `json:"k"`
}

// Handle is a run handle: the durable record of a run ID. It exists from the commit of the run ID to its
// listed end or the proof that it is dead.
type Handle struct {
	RunID         uint64        `json:"t"`
	Ref           TaskRef       `json:"r"`
	Worker        string        `json:"m"`
	Incarnation   string        `json:"b"`
	Epoch         uint64        `json:"e"`
	BundleVersion uint64        `json:"c"`
	Type          string        `json:"y"`
	Cores         int           `json:"n"`
	GPUs          int           `json:"g,omitempty"`
	LeaseTTL      time.Duration `json:"h"`
	Phase         TaskPhase     `json:"p"`
}

// Worker is what the store knows of a minion.
type Worker struct {
	Name        string            `json:"name"`
	Addr        string            `json:"addr"`
	Incarnation string            `json:"boot,omitempty"` // as the holder of sched last heard it in an answer
	Kind        string            `json:"kind"`           // obey or check
	Zone        string            `json:"zone"`
	Rack        string            `json:"rack,omitempty"`
	Labels      map[string]string `json:"labels,omitempty"`
	Cores       int               `json:"cores"`
	GPUs        int               `json:"gpus,omitempty"`
	Draining    bool              `json:"draining,omitempty"` // reported by the minion
	Closed      bool              `json:"closed,omitempty"`   // drained by an operator
}

// Role is a singleton duty and its holder. Epoch is the log index of the grant.
type Role struct {
	Holder      string `json:"holder,omitempty"` // node name; "" after it was given up
	Addr        string `json:"addr,omitempty"`
	Incarnation string `json:"boot,omitempty"`
	Epoch       uint64 `json:"epoch"`
}

// Bundle is the operators' configuration in force.
type Bundle struct {
	Version uint64           `json:"version"`
	Queues  map[string]Queue `json:"queues"`
	Limits  map[string]int   `json:"limits,omitempty"` // type to run IDs out; orders the queue only
	Backoff Backoff          `json:"backoff"`
	// Retries bounds what steps may ask for; nil: no bound.
	Retries *int `json:"retries,omitempty"`
	// LeaseTTL is how long a run goes on unheard; 0: as the holder of sched is set.
	LeaseTTL time.Duration `json:"hold,omitempty"`
	// Weights are the teams' shares under contention; a team that is not listed has 1.
	Weights map[string]int `json:"weights,omitempty"`
	// Operators, if any are listed, are the operators from this version on: name to public key.
	Operators map[string]string `json:"operators,omitempty"`
	// Parties pay for runs; the other two name the party of a queue or team. See SetParties.
	Parties      map[string]Party  `json:"parties,omitempty"`
	PartyByQueue map[string]string `json:"paying_queues,omitempty"`
	PartyByTeam  map[string]string `json:"paying_teams,omitempty"`
}

// LeaseTTLFor gives the hold of a queue's runs; own is the holder's setting.
func (b *Bundle) LeaseTTLFor(queue string, own time.Duration) time.Duration {
	return cmp.Or(b.Queues[queue].LeaseTTL, b.LeaseTTL, own)
}

// RetriesFor gives the retries of a queue's step that asks for some.
func (b *Bundle) RetriesFor(queue string, asked int) int {
	for _, most := range []*int{b.Queues[queue].Retries, b.Retries} {
		if most != nil {
			return min(asked, *most)
		}
	}
	return asked
}

// Backoff bounds the wait before a task that ended in failure is due again.
type Backoff struct {
	Min time.Duration `json:"min"`
	Max time.Duration `json:"max"`
}

// Queue is an operators' placement queue with its placement policy.
type Queue struct {
	Types    []string          `json:"types,omitempty"`  // empty: any
	Teams    []string          `json:"teams,omitempty"`  // empty: any
	Labels   map[string]string `json:"labels,omitempty"` // a minion must bear them
	Workers  []string          `json:"minions,omitempty"`
	Zones    []string          `json:"zones,omitempty"`
	Racks    []string          `json:"racks,omitempty"`
	Urgent   bool              `json:"urgent,omitempty"`
	Near     []Near            `json:"near,omitempty"`
	LeaseTTL time.Duration     `json:"hold,omitempty"` // over Bundle.LeaseTTL
	Retries  *int              `json:"retries,omitempty"`
}

// Near wants a data set nearby: a minion that bears Label with Value, in the same rack or zone.
type Near struct {
	Label string `json:"label"`
	Value string `json:"value"`
	Scope string `json:"within"` // rack or zone
}

// Tombstone is what stays of a job that left the store: enough to answer a job sent again.
type Tombstone struct {
	Digest  string    `json:"d"`
	Team    string    `json:"m,omitempty"`
	Phase   JobPhase  `json:"p"`
	Reason  string    `json:"w,omitempty"`
	EndedAt time.Time `json:"e"`
}

// AnsweredOrder is the remembered answer to an operator's order.
type AnsweredOrder struct {
	Digest string          `json:"d"`
	Answer json.RawMessage `json:"a"`
	At     time.Time       `json:"at"`
}

// Event is a change that watchers are told of, after it was made.
type Event struct {
	Kind   EventKind
	Ref    TaskRef
	Handle *Handle
	Name   string // job key, minion, duty or zone
}

// EventKind says what a Note is about.
type EventKind uint8

const (
	EventTaskDue          EventKind = iota // a task fell due (Ref)
	EventHandleCreated                     // a handle was recorded (Handle)
	EventHandleReleased                    // a handle was released (Handle)
	EventWorkerChanged                     // a minion came or changed (Name)
	EventWorkerRetired                     // a minion was retired (Name)
	EventJobSubmitted                      // a job entered the inbox (Name)
	EventJobStopping                       // a job's running handles are to be stopped (Name)
	EventRoleChanged                       // a duty changed hands (Name)
	EventPlacementChanged                  // bundle or evacuated zones changed
	EventAccountChanged                    // an account was opened or topped up (Name)
)

// State is the whole replicated state. It has no lock: its owner has.
type State struct {
	Index     uint64    `json:"index"` // of the last entry applied
	Term      uint64    `json:"term"`
	At        time.Time `json:"at"`     // store time: never goes back
	LastRunID uint64    `json:"ticket"` // the newest run ID given
	// Seq numbers the inbox messages; AdmittedSeq is the number written ahead by the holder of sched.
	Seq            uint64                `json:"seq"`
	AdmittedSeq    uint64                `json:"inbox_seq"`
	Inbox          []string              `json:"inbox"` // job keys with Seq above AdmittedSeq, in order
	Jobs           map[string]*Job       `json:"jobs"`
	EndedJobs      []string              `json:"ended"` // keys of jobs that are over, oldest first
	Tombstones     map[string]*Tombstone `json:"tombs"`
	TombstoneOrder []string              `json:"tomb_order"` // keys, oldest first
	Handles        map[uint64]*Handle    `json:"handles"`
	Workers        map[string]*Worker    `json:"minions"`
	Roles          map[string]*Role      `json:"duties"`
	Bundle         Bundle                `json:"bundle"`
	Revisions      []*Revision           `json:"line"`      // versions of the bundle, oldest first; never empty
	Operators      map[string]string     `json:"operators"` // name to public key; empty: none known yet
	Evacuated      map[string]time.Time  `json:"evacuated"`
	// Successors are the cplanes that may join in another's place, by an operator's word: new name to old.
	Successors     map[string]string         `json:"successors,omitempty"`
	LiftSignatures map[string][]string       `json:"lifts,omitempty"` // zone to the operators who signed its lifting
	Orders         map[string]*AnsweredOrder `json:"orders"`
	OrderKeys      []string                  `json:"order_keys"` // oldest first
	// Table holds jobs, workers and configuration of the platform; never nil.
	JobTable *jobs.Table `json:"table,omitempty"`
	// Accounts are the parties' prepaid balances; nil until the first one is opened.
	Accounts *account.Table `json:"accounts,omitempty"`

	// OnEvent is told of changes as they are applied; it must not change the state.
	OnEvent func(Event) `json:"-"`

	usage          map[string]*Usage
	runningCounts  map[string]int
	openJobs       int            // jobs that are not over
	openJobsByTeam map[string]int // the same by team
	labelSites     map[labelSite]int
}

// Usage is what handles take on a minion.
type Usage struct {
	Cores, GPUs int
	Handles     map[uint64]*Handle
}

// New is the state before the first entry: one queue `default` that any minion may serve.
func New() *State {
	s := &State{
		Jobs: map[string]*Job{}, Tombstones: map[string]*Tombstone{}, Handles: map[uint64]*Handle{},
		Workers: map[string]*Worker{}, Roles: map[string]*Role{}, Evacuated: map[string]time.Time{},
		Orders: map[string]*AnsweredOrder{}, Operators: map[string]string{}, LiftSignatures: map[string][]string{},
		Bundle: Bundle{
			Version: 1,
			Queues:  map[string]Queue{"default": {}},
			Backoff: Backoff{Min: 200 * time.Millisecond, Max: 30 * time.Second},
		},
	}
	s.fillDefaults()
	s.rebuildIndexes()
	return s
}

// Encode gives the state as JSON, the same bytes for the same state.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode state at %d", s.Index)
	}
	return data, nil
}

// Decode reads what Encode gave.
func Decode(data []byte) (*State, error) {
	s := New()
	s.Bundle, s.Revisions = Bundle{}, nil
	if err := codec.Decode(data, s); err != nil {
		return nil, errs.Wrap(err, errs.Damaged, "decode state")
	}
	s.fillDefaults()
	s.rebuildIndexes()
	return s, nil
}

// rebuildIndexes makes anew what can be derived.
func (s *State) rebuildIndexes() {
	s.usage = map[string]*Usage{}
	s.runningCounts = map[string]int{}
	s.labelSites = map[labelSite]int{}
	s.openJobs, s.openJobsByTeam = 0, map[string]int{}
	for _, m := range s.Workers {
		s.countLabels(m, 1)
	}
	for _, j := range s.Jobs {
		j.rebuildIndex()
		if !j.Phase.IsTerminal() {
			s.countOpenJob(j, 1)
		}
	}
	for _, h := range s.Handles {
		s.addUsage(h)
	}
	if s.Accounts != nil {
		s.Accounts.Rebuild()
		s.UseAccounts(s.Accounts)
	}
}

func (j *Job) rebuildIndex() {
	j.remaining = make([]int, len(j.Tasks))
	j.handles = 0
	j.steps = make(map[string]int, len(j.Spec.Steps))
	for i, step := range j.Spec.Steps {
		j.steps[step.Name] = i
	}
	for i, tasks := range j.Tasks {
		for k := range tasks {
			if tasks[k].Phase != TaskDone {
				j.remaining[i]++
			}
			if tasks[k].Phase.HasHandle() {
				j.handles++
			}
		}
	}
}

// Usage gives what handles take on a minion; never nil.
func (s *State) UsageOf(worker string) *Usage {
	r := s.usage[worker]
	if r == nil {
		r = &Usage{Handles: map[uint64]*Handle{}}
		s.usage[worker] = r
	}
	return r
}

// RunningCount gives how many handles of a type are out.
func (s *State) RunningCount(kind string) int { return s.runningCounts[kind] }

// RunningCounts returns a copy of the running counts, by type.
func (s *State) RunningCounts() map[string]int {
	out := make(map[string]int, len(s.runningCounts))
	for k, n := range s.runningCounts {
		out[k] = n
	}
	return out
}

// TaskOf finds a task; nil if there is none.
func (s *State) TaskOf(ref TaskRef) (*Job, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Step < 0 || ref.Step >= len(j.Tasks) || ref.Task < 0 || ref.Task >= len(j.Tasks[ref.Step]) {
		return nil, nil
	}
	return j, &j.Tasks[ref.Step][ref.Task]
}

func (s *State) notify(n Event) {
	if s.OnEvent != nil {
		s.OnEvent(n)
	}
}

func (s *State) addUsage(h *Handle) {
	r := s.UsageOf(h.Worker)
	r.Cores += h.Cores
	r.GPUs += h.GPUs
	r.Handles[h.RunID] = h
	s.runningCounts[h.Type]++
}

func (s *State) removeUsage(h *Handle) {
	r := s.UsageOf(h.Worker)
	r.Cores -= h.Cores
	r.GPUs -= h.GPUs
	delete(r.Handles, h.RunID)
	if s.runningCounts[h.Type]--; s.runningCounts[h.Type] == 0 {
		delete(s.runningCounts, h.Type)
	}
}

// taskTransitions is the table of the changes of a task's phase that exist.
var taskTransitions = map[TaskPhase][]TaskPhase{
	TaskWaiting:     {TaskDue, TaskSkipped},
	TaskDue:         {TaskAssigned, TaskDone, TaskSkipped}, // done: its end was heard after a proof had released its handle
	TaskAssigned:    {TaskRunning, TaskUnconfirmed, TaskDone, TaskDue, TaskFailed, TaskSkipped},
	TaskRunning:     {TaskUnconfirmed, TaskDone, TaskDue, TaskFailed, TaskSkipped},
	TaskUnconfirmed: {TaskRunning, TaskDone, TaskDue, TaskFailed, TaskSkipped},
}

// setTaskPhase is the one function that changes a task's phase, and with it the handle, the room and the tally. h is the
// handle on the way into TaskAssigned, else nil. It refuses a change that is not in the table (errs.Stale).
func (s *State) setTaskPhase(j *Job, t *Task, ref TaskRef, to TaskPhase, h *Handle) error {
	from := t.Phase
	if !slices.Contains(taskTransitions[from], to) {
		return errs.New(errs.Stale, "task %v is %q, cannot become %q", ref, from, to)
	}
	if to == TaskAssigned {
		if err := s.reserve(j, ref, h.RunID); err != nil {
			return errs.Pass(err, "task %v", ref)
		}
	}
	t.Phase = to
	switch {
	case to == TaskAssigned:
		t.RunID = h.RunID
		h.Phase = TaskAssigned
		s.Handles[h.RunID] = h
		s.addUsage(h)
		j.handles++
		s.notify(Event{Kind: EventHandleCreated, Handle: h, Ref: ref})
	case from.HasHandle() && to.HasHandle():
		s.Handles[t.RunID].Phase = to
	case from.HasHandle():
		old := s.Handles[t.RunID]
		delete(s.Handles, t.RunID)
		s.removeUsage(old)
		s.debitRun(old.RunID)
		j.handles--
		s.notify(Event{Kind: EventHandleReleased, Handle: old, Ref: ref})
	}
	switch to {
	case TaskDone:
		j.remaining[ref.Step]--
	case TaskDue:
		s.notify(Event{Kind: EventTaskDue, Ref: ref})
	}
	return nil
}

// SetTaskPhase changes a task's phase and draws what follows for its step and job. Example:
//
//	err := s.SetTaskPhase(h.Ref, state.TaskDone, nil) // the run of h ended well
func (s *State) SetTaskPhase(ref TaskRef, to TaskPhase, h *Handle) error {
	j, t := s.TaskOf(ref)
	if t == nil {
		return errs.New(errs.Stale, "no task %v", ref)
	}
	if err := s.setTaskPhase(j, t, ref, to, h); err != nil {
		return errs.Pass(err, "move")
	}
	if to == TaskDone && j.remaining[ref.Step] == 0 && j.Phase == JobRunning {
		s.MakeReadyTasksDue(j)
	}
	s.finishIfComplete(j)
	return nil
}

// must is for changes that the caller has just checked: a refusal is a failure of ours, and going on would leave
// the nodes apart.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// MakeReadyTasksDue makes the tasks due whose steps wait for nothing any more.
func (s *State) MakeReadyTasksDue(j *Job) {
	for i, step := range j.Spec.Steps {
		ready := true
		for _, name := range step.After {
			ready = ready && j.remaining[j.steps[name]] == 0
		}
		if !ready {
			continue
		}
		for k := range j.Tasks[i] {
			if t := &j.Tasks[i][k]; t.Phase == TaskWaiting {
				must(s.setTaskPhase(j, t, TaskRef{j.Spec.Key, i, k}, TaskDue, nil))
			}
		}
	}
}

// StopJob fixes a job's outcome: nothing of it starts any more, and what runs is to be stopped.
func (s *State) StopJob(j *Job, outcome JobPhase, reason string) {
	if j.Phase.IsTerminal() || j.Phase == JobStopping {
		return
	}
	if j.Phase == JobAccepted {
		for i, key := range s.Inbox {
			if key == j.Spec.Key {
				s.Inbox = append(s.Inbox[:i:i], s.Inbox[i+1:]...)
				break
			}
		}
	}
	j.Phase, j.Outcome, j.Reason = JobStopping, outcome, reason
	for i := range j.Tasks {
		for k := range j.Tasks[i] {
			if t := &j.Tasks[i][k]; t.Phase == TaskWaiting || t.Phase == TaskDue {
				must(s.setTaskPhase(j, t, TaskRef{j.Spec.Key, i, k}, TaskSkipped, nil))
			}
		}
	}
	s.notify(Event{Kind: EventJobStopping, Name: j.Spec.Key})
	s.finishIfComplete(j)
}

// finishIfComplete ends a job that has nothing left to do.
func (s *State) finishIfComplete(j *Job) {
	to := j.Phase
	switch j.Phase {
	case JobStopping:
		if j.handles == 0 {
			to = j.Outcome
		}
	case JobRunning:
		left := 0
		for _, n := range j.remaining {
			left += n
		}
		if left == 0 {
			to = JobDone
		}
	}
	if to == j.Phase {
		return
	}
	j.Phase, j.Outcome, j.EndedAt = to, "", s.At
	s.countOpenJob(j, -1)
	s.EndedJobs = append(s.EndedJobs, j.Spec.Key)
}

// WorkerNames gives the names of all minions in order.
func (s *State) WorkerNames() []string {
	out := make([]string, 0, len(s.Workers))
	for name := range s.Workers {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// NotifyWatcher lets package command tell watchers of a change that Move does not see.
func (s *State) NotifyWatcher(kind EventKind, name string) { s.notify(Event{Kind: kind, Name: name}) }

// EnqueueJob puts a fresh job into the inbox.
func (s *State) EnqueueJob(j *Job) {
	j.Tasks = make([][]Task, len(j.Spec.Steps))
	for i, step := range j.Spec.Steps {
		j.Tasks[i] = make([]Task, step.Tasks)
	}
	j.rebuildIndex()
	s.countOpenJob(j, 1)
	s.Jobs[j.Spec.Key] = j
	s.Inbox = append(s.Inbox, j.Spec.Key)
	s.notify(Event{Kind: EventJobSubmitted, Name: j.Spec.Key})
}

// AdmitJobs takes in the inbox messages up to seq: their first steps fall due, the number is written.
func (s *State) AdmitJobs(seq uint64) {
	if seq <= s.AdmittedSeq {
		return
	}
	s.AdmittedSeq = min(seq, s.Seq)
	n := 0
	for n < len(s.Inbox) && s.Jobs[s.Inbox[n]].Seq <= seq {
		n++
	}
	keys := s.Inbox[:n]
	s.Inbox = append([]string(nil), s.Inbox[n:]...)
	for _, key := range keys {
		j := s.Jobs[key]
		j.Phase = JobRunning
		s.MakeReadyTasksDue(j)
	}
}

// Handles gives the run IDs out on a minion, oldest first.
func (s *State) RunIDsOn(worker string) []uint64 {
	r := s.UsageOf(worker)
	out := make([]uint64, 0, len(r.Handles))
	for t := range r.Handles {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}
