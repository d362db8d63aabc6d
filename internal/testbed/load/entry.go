package load

import "time"

// Events of an Entry.
const (
	Submit    = "submit"    // a job is about to be submitted for the first time
	Accepted  = "accepted"  // a node accepted it
	Again     = "again"     // the same job was submitted once more after that, and a node answered
	Refused   = "refused"   // the client gave the job up; Reason is that of the last refusal
	Poll      = "poll"      // a poll found a state new to the client, or (each time) that the job is not there
	Cancel    = "cancel"    // a cancel is about to be requested
	Cancelled = "cancelled" // a node acknowledged the cancel
)

// Missing is the State of a poll that was answered 404.
const Missing = "404"

// Entry is one line of a client's journal, DIR/journal/consumer-*.jsonl. An acknowledgement is journaled when its
// answer has arrived, so At is never before it.
type Entry struct {
	At     int64  `json:"at"` // Unix time in ns, of writing
	Event  string `json:"ev"`
	Job    string `json:"job"`
	State  string `json:"state,omitempty"`
	Node   string `json:"node,omitempty"`
	Team   string `json:"team,omitempty"`
	Queue  string `json:"queue,omitempty"`
	Steps  []Step `json:"steps,omitempty"` // of accepted
	Status int    `json:"status,omitempty"`
	Reason string `json:"why,omitempty"`
}

// Step is what the audit must know of a step.
type Step struct {
	Name   string            `json:"name"`
	Type   string            `json:"type"`
	Tasks  int               `json:"tasks"`
	Cores  int               `json:"cores"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Time returns At.
func (e Entry) Time() time.Time { return time.Unix(0, e.At) }
