package load

import "time"

// Events of an Entry.
const (
	Submit    = "submit"    // a job is about to be submitted for the first time
	Accepted  = "accepted"  // a node accepted it
	Again     = "again"     // the accepted job was submitted a second time, and a node answered or the client gave up
	Refused   = "refused"   // the client gave the job up; Reason is the reason of the last refusal
	Poll      = "poll"      // a poll returned a state that differs from the last one, or (every time) a 404
	Cancel    = "cancel"    // a cancel is about to be requested
	Cancelled = "cancelled" // a node acknowledged the cancel
)

// Missing is the State of a Poll that was answered 404.
const Missing = "404"

// Entry is one line of a client's journal, DIR/journal/consumer-*.jsonl. An acknowledgement is journaled after its
// answer has arrived, so At is never earlier than the acknowledgement.
type Entry struct {
	At     int64  `json:"at"` // time of writing, Unix ns
	Event  string `json:"ev"`
	Job    string `json:"job"`
	State  string `json:"state,omitempty"`
	Node   string `json:"node,omitempty"`
	Team   string `json:"team,omitempty"`
	Queue  string `json:"queue,omitempty"`
	Steps  []Step `json:"steps,omitempty"` // set for Accepted
	Status int    `json:"status,omitempty"`
	Reason string `json:"why,omitempty"`
}

// Step holds what the audit needs of a step.
type Step struct {
	Name   string            `json:"name"`
	Type   string            `json:"type"`
	Tasks  int               `json:"tasks"`
	Cores  int               `json:"cores"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Time returns At as a time.Time.
func (e Entry) Time() time.Time { return time.Unix(0, e.At) }
