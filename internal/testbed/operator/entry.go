package operator

import "encoding/json"

// Events of an Entry.
const (
	Put         = "put"    // the writing of a draft was answered for good: OK, Version and SHA, or Reason
	Sign        = "sign"   // a signature was answered for good
	Force       = "bundle" // a version was acknowledged as in force; Bundle is its text
	Unanswered  = "unsure" // no answer came; Version may be in force from Sent on
	ReadBack    = "read"   // the version in force was read back; SHA is of the bytes that came
	NodeVersion = "has"    // Node reported its version, or (not OK) could not

	Evacuate = "evacuate" // the evacuation of Zone was acknowledged
	Lift     = "lift"     // the second signature for lifting it is about to be sent
)

// Entry is one line of an operator's journal, DIR/journal/operator-bundles-*.jsonl. Sent is before the call was sent,
// At after its answer came: what was acknowledged was so between them.
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
	Reason  string          `json:"why,omitempty"` // kind of the error
	Bundle  json.RawMessage `json:"bundle,omitempty"`
}
