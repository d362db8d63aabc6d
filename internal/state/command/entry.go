// Package command holds every change of the replicated state: each is a type whose JSON stands in the log, and
// a function that applies it. Applying is deterministic and checks its preconditions in the same step.
package command

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Entry is what stands in a log entry: one command with the store time its leader gave it.
type Entry struct {
	At   time.Time       `json:"at"`
	Op   string          `json:"op"`
	Body json.RawMessage `json:"c"`
}

// Command is a change of state. Op names it in the log; apply makes it and gives its answer.
type Command interface {
	Op() string
	apply(s *state.State, index uint64) (any, error)
}

var constructors = map[string]func() Command{
	"submit":   func() Command { return &Submit{} },
	"cancel":   func() Command { return &Cancel{} },
	"cancels":  func() Command { return &CancelMany{} },
	"announce": func() Command { return &Announce{} },
	"plan":     func() Command { return &Plan{} },
	"grant":    func() Command { return &GrantRole{} },
	"giveup":   func() Command { return &ReleaseRole{} },
	"zone":     func() Command { return &EvacuateZone{} },
	"close":    func() Command { return &CloseWorker{} },
	"succeed":  func() Command { return &ReplaceMember{} },
	"tidy":     func() Command { return &Purge{} },
	"keys":     func() Command { return &SetOperators{} },
	"put":      func() Command { return &PutBundle{} },
	"patch":    func() Command { return &PatchBundle{} },
	"sign":     func() Command { return &SignBundle{} },

	"account-create": func() Command { return &AccountCreate{} },
	"account-top-up": func() Command { return &AccountTopUp{} },
	"job-parties":    func() Command { return &JobParties{} },

	"job-submit":    func() Command { return &JobSubmit{} },
	"job-cancel":    func() Command { return &JobCancel{} },
	"job-configure": func() Command { return &JobConfigure{} },
	"job-evacuate":  func() Command { return &JobEvacuate{} },
	"job-register":  func() Command { return &JobRegister{} },
	"job-progress":  func() Command { return &JobProgress{} },
	"job-tidy":      func() Command { return &JobPurge{} },
}

// Encode makes the log data of a command. Example:
//
//	data, err := command.Encode(clock.Wall(), &command.Cancel{Key: "k-1"})
func Encode(at time.Time, c Command) (json.RawMessage, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "encode command %s", c.Op())
	}
	data, err := json.Marshal(Entry{At: at, Op: c.Op(), Body: body})
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "encode entry %s", c.Op())
	}
	return data, nil
}

// New gives an empty command of an op, to decode into.
func New(op string) (Command, error) {
	m, ok := constructors[op]
	if !ok {
		return nil, errs.Field(errs.Invalid, "op", "no command %q", op)
	}
	return m(), nil
}

// Apply decodes the data of the log entry at index, term and applies it. The answer and the error are the
// command's own (the error is an outcome, equal on every node); the state's index moves on in any case.
// Empty data moves the index only.
func Apply(s *state.State, index, term uint64, data []byte) (any, error) {
	s.Index, s.Term = index, term
	if len(data) == 0 {
		return nil, nil
	}
	var e Entry
	if err := codec.Decode(data, &e); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "entry %d", index)
	}
	if e.At.After(s.At) {
		s.At = e.At
		s.Accounts.Renew(s.At) // before anything else of that time
	}
	c, err := New(e.Op)
	if err != nil {
		return nil, errs.Pass(err, "entry")
	}
	if err := codec.Decode(e.Body, c); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "entry %d, %s", index, e.Op)
	}
	answer, err := c.apply(s, index)
	if err != nil {
		return answer, errs.Pass(err, "apply")
	}
	return answer, nil
}

// Submit puts a job in the inbox. Sent again with the same digest it is the same job; with another one it is
// a conflict. Bound is the most jobs that may be open; see State.Shed for who is turned away before.
type Submit struct {
	Spec   state.Spec `json:"spec"`
	Digest string     `json:"digest"`
	Bound  int        `json:"bound"`
}

// Submitted answers Submit: the job's phase now, and whether this call brought it in.
type Submitted struct {
	Key    string         `json:"key"`
	Phase  state.JobPhase `json:"state"`
	Reason string         `json:"reason,omitempty"`
	Fresh  bool           `json:"fresh"`
}

// Op is "submit".
func (c *Submit) Op() string { return "submit" }

func (c *Submit) apply(s *state.State, _ uint64) (any, error) {
	key := c.Spec.Key
	if j := s.Jobs[key]; j != nil {
		if j.Digest != c.Digest {
			return nil, errs.Field(errs.Conflict, "key", "%q is the key of another job", key)
		}
		return Submitted{Key: key, Phase: j.Phase, Reason: j.Reason}, nil
	}
	if t := s.Tombstones[key]; t != nil {
		if t.Digest != c.Digest {
			return nil, errs.Field(errs.Conflict, "key", "%q was the key of another job", key)
		}
		return Submitted{Key: key, Phase: t.Phase, Reason: t.Reason}, nil
	}
	q, ok := s.Bundle.Queues[c.Spec.Queue]
	if !ok {
		return nil, errs.Field(errs.Invalid, "queue", "no queue %q in bundle %d", c.Spec.Queue, s.Bundle.Version)
	}
	if len(q.Teams) > 0 && !has(q.Teams, c.Spec.Team) {
		return nil, errs.Field(errs.Forbidden, "team", "%q may not use queue %q", c.Spec.Team, c.Spec.Queue)
	}
	for i, step := range c.Spec.Steps {
		if len(q.Types) > 0 && !has(q.Types, step.Type) {
			return nil, errs.Field(errs.Forbidden, fieldPath("steps", i, "type"), "%q may not use queue %q", step.Type, c.Spec.Queue)
		}
	}
	if why := s.OverloadReason(c.Spec.Team, q.Urgent, c.Bound); why != "" {
		return nil, errs.New(errs.Overloaded, "%s", why)
	}
	s.Seq++
	j := &state.Job{Spec: c.Spec, Digest: c.Digest, Phase: state.JobAccepted, Seq: s.Seq, SubmittedAt: s.At}
	s.EnqueueJob(j)
	return Submitted{Key: key, Phase: j.Phase, Fresh: true}, nil
}

// Cancel stops a job: nothing of it starts after this entry.
type Cancel struct {
	Key string `json:"key"`
}

// Cancelled answers Cancel with the phase after it; a job that was over stays what it was.
type Cancelled struct {
	Key   string         `json:"key"`
	Phase state.JobPhase `json:"state"`
}

// Op is "cancel".
func (c *Cancel) Op() string { return "cancel" }

func (c *Cancel) apply(s *state.State, _ uint64) (any, error) {
	if j := s.Jobs[c.Key]; j != nil {
		s.StopJob(j, state.JobCancelled, "cancelled by a consumer")
		return Cancelled{c.Key, j.Phase}, nil
	}
	if t := s.Tombstones[c.Key]; t != nil {
		return Cancelled{c.Key, t.Phase}, nil
	}
	return nil, errs.Field(errs.Unknown, "key", "no job %q", c.Key)
}

// MaxCancels bounds the keys of one Cancels.
const MaxCancels = 10000

// CancelMany stops many jobs in one step: those of Keys, or all of a team, of a queue, or of a team in a queue.
type CancelMany struct {
	Keys  []string `json:"keys,omitempty"`
	Team  string   `json:"team,omitempty"`
	Queue string   `json:"queue,omitempty"`
}

// CancelledMany answers Cancels.
type CancelledMany struct {
	Cancelled int      `json:"cancelled"`         // stopped by this call
	Over      int      `json:"over,omitempty"`    // were over or stopping
	Unknown   []string `json:"unknown,omitempty"` // keys that no job has
}

// Op is "cancels".
func (c *CancelMany) Op() string { return "cancels" }

func (c *CancelMany) apply(s *state.State, _ uint64) (any, error) {
	keys := c.Keys
	switch {
	case len(keys) > MaxCancels:
		return nil, errs.Field(errs.Invalid, "keys", "%d keys, at most %d", len(keys), MaxCancels)
	case len(keys) > 0 && c.Team+c.Queue != "":
		return nil, errs.Field(errs.Invalid, "keys", "keys go without team and queue")
	case len(keys) == 0 && c.Team+c.Queue == "":
		return nil, errs.Field(errs.Invalid, "keys", "keys, a team or a queue are needed")
	case len(keys) == 0:
		for key, j := range s.Jobs {
			if !j.Phase.IsTerminal() && (c.Team == "" || j.Spec.Team == c.Team) && (c.Queue == "" || j.Spec.Queue == c.Queue) {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys) // every node stops them in the same order
	}
	out := CancelledMany{}
	for _, key := range keys {
		switch j := s.Jobs[key]; {
		case j != nil && !j.Phase.IsTerminal() && j.Phase != state.JobStopping:
			s.StopJob(j, state.JobCancelled, "cancelled by a consumer")
			out.Cancelled++
		case j != nil || s.Tombstones[key] != nil:
			out.Over++
		default:
			out.Unknown = append(out.Unknown, key)
		}
	}
	return out, nil
}

// Announce makes a minion known. Of a known minion it moves the address only: what a minion is and which boot
// it runs under, only its answers to the holder of sched tell.
type Announce struct {
	Worker state.Worker `json:"minion"`
}

// Op is "announce".
func (c *Announce) Op() string { return "announce" }

func (c *Announce) apply(s *state.State, _ uint64) (any, error) {
	m := s.Workers[c.Worker.Name]
	if m == nil {
		fresh := c.Worker
		fresh.Incarnation = ""
		s.PutWorker(&fresh)
	} else if m.Addr != c.Worker.Addr {
		moved := *m
		moved.Addr = c.Worker.Addr
		s.PutWorker(&moved)
	}
	return nil, nil
}

// GrantRole gives a duty to a holder if After is still its epoch. The new epoch is the entry's index.
type GrantRole struct {
	Role        string `json:"duty"`
	Holder      string `json:"holder"`
	Addr        string `json:"addr"`
	Incarnation string `json:"boot"`
	After       uint64 `json:"after"`
}

// Op is "grant".
func (c *GrantRole) Op() string { return "grant" }

func (c *GrantRole) apply(s *state.State, index uint64) (any, error) {
	d := s.Roles[c.Role]
	if d == nil {
		d = &state.Role{}
	}
	if d.Epoch != c.After {
		return nil, errs.New(errs.Stale, "duty %s is at epoch %d, not %d", c.Role, d.Epoch, c.After)
	}
	next := &state.Role{Holder: c.Holder, Addr: c.Addr, Incarnation: c.Incarnation, Epoch: index}
	s.Roles[c.Role] = next
	s.NotifyWatcher(state.EventRoleChanged, c.Role)
	return *next, nil
}

// ReleaseRole ends a duty before its lease does; nothing may be done under Epoch from here on.
type ReleaseRole struct {
	Role  string `json:"duty"`
	Epoch uint64 `json:"epoch"`
}

// Op is "giveup".
func (c *ReleaseRole) Op() string { return "giveup" }

func (c *ReleaseRole) apply(s *state.State, index uint64) (any, error) {
	d := s.Roles[c.Role]
	if d == nil || d.Epoch != c.Epoch {
		return nil, errs.New(errs.Stale, "duty %s is not at epoch %d", c.Role, c.Epoch)
	}
	s.Roles[c.Role] = &state.Role{Epoch: index}
	s.NotifyWatcher(state.EventRoleChanged, c.Role)
	return nil, nil
}

// CloseWorker drains a minion by an operator's word, opens it again, or retires it (only without handles).
type CloseWorker struct {
	Order  string `json:"order"`
	Worker string `json:"minion"`
	Closed bool   `json:"closed"`
	Retire bool   `json:"retire,omitempty"`
}

// Op is "close".
func (c *CloseWorker) Op() string { return "close" }

func (c *CloseWorker) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		m := s.Workers[c.Worker]
		if m == nil {
			return nil, errs.Field(errs.Unknown, "minion", "no minion %q", c.Worker)
		}
		if c.Retire {
			if n := len(s.UsageOf(c.Worker).Handles); n > 0 {
				return nil, errs.Field(errs.Conflict, "minion", "%q has %d tickets out; drain it first", c.Worker, n)
			}
			s.DropWorker(c.Worker)
			return map[string]any{"minion": c.Worker, "retired": true}, nil
		}
		next := *m
		next.Closed = c.Closed
		s.PutWorker(&next)
		return map[string]any{"minion": c.Worker, "closed": c.Closed}, nil
	})
	return answer, errs.Pass(err, "close minion %q", c.Worker)
}

// ReplaceMember lets the cplane New join in the place of Old, whose machine is gone. The store takes Old out when New has
// caught up.
type ReplaceMember struct {
	Order string `json:"order"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Op is "succeed".
func (c *ReplaceMember) Op() string { return "succeed" }

func (c *ReplaceMember) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		switch {
		case c.Old == "" || c.New == "" || strings.Contains(c.Old+c.New, "~"):
			return nil, errs.Field(errs.Invalid, "new", "the names of two machines are needed, without ~")
		case c.Old == c.New:
			return nil, errs.Field(errs.Invalid, "new", "a machine of the same name joins by itself")
		}
		if old, ok := s.Successors[c.New]; ok && old != c.Old {
			return nil, errs.Field(errs.Conflict, "new", "%q takes the place of %q already", c.New, old)
		}
		if s.Successors == nil {
			s.Successors = map[string]string{}
		}
		s.Successors[c.New] = c.Old
		return map[string]string{"old": c.Old, "new": c.New}, nil
	})
	return answer, errs.Pass(err, "succeed")
}

// Purge lets ended jobs, tombstones and remembered orders go, by age and by count.
type Purge struct {
	JobsBefore       time.Time `json:"jobs_before"`
	JobsKeep         int       `json:"jobs_keep"`
	TombstonesBefore time.Time `json:"tombs_before"`
	TombstonesKeep   int       `json:"tombs_keep"`
	OrdersBefore     time.Time `json:"orders_before"`
}

// Op is "tidy".
func (c *Purge) Op() string { return "tidy" }

func (c *Purge) apply(s *state.State, _ uint64) (any, error) {
	for len(s.EndedJobs) > 0 {
		j := s.Jobs[s.EndedJobs[0]]
		if len(s.EndedJobs) <= c.JobsKeep && !j.EndedAt.Before(c.JobsBefore) {
			break
		}
		s.Tombstones[j.Spec.Key] = &state.Tombstone{Digest: j.Digest, Team: j.Spec.Team, Phase: j.Phase, Reason: j.Reason, EndedAt: j.EndedAt}
		s.TombstoneOrder = append(s.TombstoneOrder, j.Spec.Key)
		delete(s.Jobs, j.Spec.Key)
		s.EndedJobs = s.EndedJobs[1:]
	}
	for len(s.TombstoneOrder) > 0 {
		t := s.Tombstones[s.TombstoneOrder[0]]
		if len(s.TombstoneOrder) <= c.TombstonesKeep && !t.EndedAt.Before(c.TombstonesBefore) {
			break
		}
		delete(s.Tombstones, s.TombstoneOrder[0])
		s.TombstoneOrder = s.TombstoneOrder[1:]
	}
	for len(s.OrderKeys) > 0 && s.Orders[s.OrderKeys[0]].At.Before(c.OrdersBefore) {
		delete(s.Orders, s.OrderKeys[0])
		s.OrderKeys = s.OrderKeys[1:]
	}
	return nil, nil
}
