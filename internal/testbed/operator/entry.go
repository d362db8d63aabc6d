// Package operator is the stand-in operators of the rehearsal kit: two of them who write, sign, race for and read
// back bundles, and journal what they were told.
package operator

import "encoding/json"

// What an Entry of an operator tells.
const (
	Put         = "put"    // the writing of a draft was answered for good: OK, Version and SHA, or Why
	Sign        = "sign"   // a signature was answered for good
	Force       = "bundle" // a version was acknowledged as in force; Bundle is its text
	Unanswered  = "unsure" // no answer came in the end; Version may be in force from Sent on
	ReadBack    = "read"   // the version in force was read back; SHA is of the bytes that came
	NodeVersion = "has"    // node Node said which version it goes by, or (not OK) could not confirm it

	Evacuate = "evacuate" // the evacuation of Zone was acknowledged
	Lift     = "lift"     // the second signature for lifting it is about to be sent
)

// Entry is one line of an operator's journal, DIR/journal/operator-bundles-*.jsonl. Sent is when the call was sent;
// At is after its answer came.
type Entry struct {
	At      int64           `json:"at"` // Unix time in ns, of writing
	Event   string          `json:"ev"`
	Sent    int64           `json:"sent"`
	Node    string          `json:"node"`
	Zone    string          `json:"zone,omitempty"`
	Order   string          `json:"order,omitempty"`
	By      string          `json:"by,omitempty"`
	Base    uint64          `json:"base,omitempty"`
	Version uint64          `json:"version,omitempty"`
	SHA     string          `json:"sha,omitempty"`
	OK      bool            `json:"ok"`
	Reason  string          `json:"why,omitempty"` // the fault's kind
	Bundle  json.RawMessage `json:"bundle,omitempty"`
}
