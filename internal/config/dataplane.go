package config

import (
	"time"

	"crosstide/internal/errs"
)

// DataPlane holds the settings of a data-plane node of the policy deployment. Each field's comment begins with the
// setting's name.
type DataPlane struct {
	Common
	ControlPlanes []string      // core: addresses of control-plane nodes; required without seeds
	RunLease      time.Duration // hold: how long a worker keeps its runs without a renewal; default 20s
	PollWait      time.Duration // hold_wait: how long a worker may delay its answer; default 1s
	StartWindow   time.Duration // start_window: time from a run ID's commit to its start order; default 500ms
	Lateness      time.Duration // lateness: maximum delay of an order on a worker of kind obey; default 2s
	LeaseMargin   time.Duration // lease_margin: the node stops acting this long before its lease ends; default 500ms
	RoleLease     time.Duration // duty_lease: same value as on the control plane; default 3s, greater than lease_margin
	CallTimeout   time.Duration // call_timeout: timeout of a call to the control plane; default 2s
	// MaxUnhealthyShare, sick_share: maximum percentage of a zone's workers ejected at once; default 30, 0: none.
	MaxUnhealthyShare int
	QueueLimit        int // queue_limit: maximum number of open jobs; default 60000
}

// DefaultDataPlane returns the default settings. Required settings are empty.
func DefaultDataPlane() DataPlane {
	return DataPlane{
		Common:            defaultCommon(),
		RunLease:          20 * time.Second,
		PollWait:          time.Second,
		StartWindow:       500 * time.Millisecond,
		Lateness:          2 * time.Second,
		LeaseMargin:       500 * time.Millisecond,
		RoleLease:         3 * time.Second,
		CallTimeout:       2 * time.Second,
		MaxUnhealthyShare: 30,
		QueueLimit:        60000,
	}
}

// LoadDataPlane is LoadControlPlane for a data-plane node.
func LoadDataPlane(path string) (DataPlane, error) {
	d := DefaultDataPlane()
	err := load(path, d.read)
	return d, errs.Pass(err, "data-plane node")
}

// CheckDataPlane is CheckControlPlane for a data-plane node.
func CheckDataPlane(d DataPlane) error { return errs.Pass(checkSettings(d.read), "data-plane node") }

func (d *DataPlane) read(r *Reader) {
	d.Common.read(r)
	r.Strings("core", &d.ControlPlanes, Address)
	if len(d.ControlPlanes)+len(d.Seeds) == 0 {
		r.Reject("core", "must be given if there are no seeds")
	}
	r.Duration("hold", &d.RunLease, minDuration, maxDuration)
	r.Duration("hold_wait", &d.PollWait, minDuration, maxDuration)
	r.Duration("start_window", &d.StartWindow, minDuration, maxDuration)
	r.Duration("lateness", &d.Lateness, 0, maxDuration)
	r.Duration("lease_margin", &d.LeaseMargin, minDuration, maxDuration)
	r.Duration("duty_lease", &d.RoleLease, minDuration, maxDuration)
	r.Duration("call_timeout", &d.CallTimeout, minDuration, maxDuration)
	r.Int("sick_share", &d.MaxUnhealthyShare, 0, 100)
	r.Renamed("backlog", "queue_limit")
	r.Int("queue_limit", &d.QueueLimit, 1, maxCount)
	if d.LeaseMargin >= d.RoleLease {
		r.Reject("lease_margin", "must be less than duty_lease (%s), is %s", d.RoleLease, d.LeaseMargin)
	}
}
