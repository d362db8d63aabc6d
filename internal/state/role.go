package state

// SchedulerRole is the name of the scheduler's role, whose holder writes plans. The name is stored and sent to nodes.
const SchedulerRole = "sched"

// Role records which node holds a singleton role, such as the scheduler's.
type Role struct {
	Holder      string `json:"holder,omitempty"` // node name; "" after it was released
	Addr        string `json:"addr,omitempty"`
	Incarnation string `json:"boot,omitempty"` // of the holder's process
	Epoch       uint64 `json:"epoch"`          // log index of the newest grant or release: the fencing token
}
