package state

// SchedulerRole is the name of the scheduler's role: whoever has it writes plans. It is stored and sent under it.
const SchedulerRole = "sched"

// Role is a singleton role, such as the scheduler's, with the node that holds it.
type Role struct {
	Holder      string `json:"holder,omitempty"` // node name; "" after it was released
	Addr        string `json:"addr,omitempty"`
	Incarnation string `json:"boot,omitempty"` // of the holder's process
	Epoch       uint64 `json:"epoch"`          // log index of the newest grant or release: the fencing token
}
