package command

import (
	"encoding/json"
	"time"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Entry is the data of a log entry: one command and the store time that the leader set.
type Entry struct {
	At   time.Time       `json:"at"`
	Op   string          `json:"op"`
	Body json.RawMessage `json:"c"` // the command's own JSON
}

// Command is a change of the state.
type Command interface {
	// Op is the command's name in the log.
	Op() string
	// apply checks the command against s, changes s and returns the answer. If it returns an error, s is unchanged.
	// index is the index of the log entry.
	apply(s *state.State, index uint64) (any, error)
}

// constructors maps each op to a function that returns an empty command of that op.
var constructors = map[string]func() Command{
	// Of both deployments.
	"succeed":        func() Command { return &ReplaceMember{} },
	"keys":           func() Command { return &SetOperators{} },
	"account-create": func() Command { return &AccountCreate{} },
	"account-top-up": func() Command { return &AccountTopUp{} },

	// Of the policy deployment.
	"submit":   func() Command { return &Submit{} },
	"cancel":   func() Command { return &Cancel{} },
	"cancels":  func() Command { return &CancelMany{} },
	"announce": func() Command { return &Announce{} },
	"plan":     func() Command { return &Plan{} },
	"grant":    func() Command { return &GrantRole{} },
	"giveup":   func() Command { return &ReleaseRole{} },
	"zone":     func() Command { return &EvacuateZone{} },
	"close":    func() Command { return &CloseWorker{} },
	"tidy":     func() Command { return &Purge{} },
	"put":      func() Command { return &PutBundle{} },
	"patch":    func() Command { return &PatchBundle{} },
	"sign":     func() Command { return &SignBundle{} },

	// Of the jobs deployment.
	"job-submit":    func() Command { return &JobSubmit{} },
	"job-cancel":    func() Command { return &JobCancel{} },
	"job-configure": func() Command { return &JobConfigure{} },
	"job-schema":    func() Command { return &JobUpgradeSchema{} },
	"job-evacuate":  func() Command { return &JobEvacuate{} },
	"job-register":  func() Command { return &JobRegister{} },
	"job-progress":  func() Command { return &JobProgress{} },
	"job-parties":   func() Command { return &JobParties{} },
	"job-tidy":      func() Command { return &JobPurge{} },
}

// New returns an empty command of an op, to decode into. Failure: Invalid.
func New(op string) (Command, error) {
	construct, ok := constructors[op]
	if !ok {
		return nil, errs.Field(errs.Invalid, "op", "unknown command %q", op)
	}
	return construct(), nil
}

// Encode returns the log data of a command. Example:
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

// Apply decodes the data of the log entry at index and term, and applies it. The answer and the error are those of the
// command; the error is an outcome that is equal on every node. The state's index and term advance in any case. An
// entry without data, which a new leader appends, advances only these.
func Apply(s *state.State, index, term uint64, data []byte) (any, error) {
	s.Index, s.Term = index, term
	if len(data) == 0 {
		return nil, nil
	}
	var entry Entry
	if err := codec.Decode(data, &entry); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "entry %d", index)
	}
	if entry.At.After(s.At) {
		s.At = entry.At
		s.Accounts.Renew(s.At) // before any other change at that time
	}
	c, err := New(entry.Op)
	if err != nil {
		return nil, errs.Pass(err, "entry")
	}
	if err := codec.Decode(entry.Body, c); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "entry %d, %s", index, entry.Op)
	}
	answer, err := c.apply(s, index)
	if err != nil {
		return answer, errs.Pass(err, "apply")
	}
	return answer, nil
}

// must panics on an error of a change that the caller has just checked. Such an error is a bug, and continuing would
// let the nodes diverge.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
