package load

import "time"

// What an Entry of a client tells.
const (
	Submit    = "submit"    // a job is being handed in for the first time
	Accepted  = "accepted"  // a node said yes
	Again     = "again"     // the same job was handed in again after its yes, and a node answered
	Refused   = "refused"   // the client gave the job up; Why says with what it was refused last
	Poll      = "poll"      // a poll told a state new to the client, or (each time) that the job is not there
	Cancel    = "cancel"    // a cancel is being asked for
	Cancelled = "cancelled" // a node acknowledged the cancel
)

// Missing is the State of a poll that was answered 404.
const Missing = "404"

// Entry is one line of a client's journal, DIR/journal/client-*.jsonl. What was acknowledged is journaled
// when its answer has come, so At is never before the acknowledgement.
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
