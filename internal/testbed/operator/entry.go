package operator

import "encoding/json"

// Events of an Entry.
const (
	Put         = "put"    // a draft got its final answer: OK with Version and SHA, or Reason
	Sign        = "sign"   // a signature got its final answer
	Force       = "bundle" // a version was acknowledged as in force; Bundle is its text
	Unanswered  = "unsure" // an order got no answer; Version, if set, may be in force from Sent on
	ReadBack    = "read"   // the version in force was read back; SHA is the digest of the bytes read
	NodeVersion = "has"    // Node confirmed its version, or could not if OK is false

	Evacuate = "evacuate" // the evacuation of Zone was acknowledged
	Lift     = "lift"     // the second signature for lifting it is about to be sent
)

// Entry is one line of an operator's journal, DIR/journal/operator-bundles-*.jsonl. Sent is a time before the call was
// sent, At one after its answer arrived: an acknowledged order took effect between the two.
type Entry struct {
	At      int64           `json:"at"` // time of writing, Unix ns
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
