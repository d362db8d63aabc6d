package config

import (
	"time"

	"crosstide/internal/errs"
)

// JobsControlPlane are the settings of a control plane node of the jobs deployment: those of ControlPlane, and a
// section jobs. Each comment begins with the setting's name.
type JobsControlPlane struct {
	ControlPlane
	Control     string        // jobs.control: IP:PORT where workers and operators reach the node, required
	CallTimeout time.Duration // jobs.call_timeout: of an operator's call; default 3s
	// KeepFinished, jobs.keep_over, is how long a finished job can be read; default 10m.
	KeepFinished time.Duration
	Scheduler    JobsScheduler
}

// JobsScheduler are the settings of the section jobs that the scheduler uses.
type JobsScheduler struct {
	Lease        time.Duration // jobs.lease: of all that runs on a worker; default 5s
	PollWait     time.Duration // jobs.hold_wait: how long a worker may delay its answer; default 1s, at most lease/3
	Silence      time.Duration // jobs.silence: no starts on a worker unheard for so long; default 4s
	LapseMargin  time.Duration // jobs.lapse_margin: in which a worker kills all once its lease is over; default 600ms
	EarlyStart   time.Duration // jobs.early_start: how much ahead of its time a round may start; default 0s
	RemoteFactor float64       // jobs.remote_factor: how many times as long a task takes far from its data; default 1.5
	ForgetAfter  time.Duration // jobs.forget_after: a worker without runs is dropped when unheard so long; default 15s
}

// JobsDataPlane are the settings of a data plane node of the jobs deployment.
type JobsDataPlane struct {
	Common
	ControlPlanes []string      // core: addresses of control plane nodes; required without seeds
	CallTimeout   time.Duration // call_timeout: of a client's call; default 3s
}

// renewalsPerLease is how often at least a lease is renewed while it runs.
const renewalsPerLease = 3

// DefaultJobsControlPlane returns the defaults; required settings are empty.
func DefaultJobsControlPlane() JobsControlPlane {
	return JobsControlPlane{
		ControlPlane: DefaultControlPlane(),
		CallTimeout:  3 * time.Second,
		KeepFinished: 10 * time.Minute,
		Scheduler: JobsScheduler{
			Lease:        5 * time.Second,
			PollWait:     time.Second,
			Silence:      4 * time.Second,
			LapseMargin:  600 * time.Millisecond,
			RemoteFactor: 1.5,
			ForgetAfter:  15 * time.Second,
		},
	}
}

// DefaultJobsDataPlane returns the defaults; required settings are empty.
func DefaultJobsDataPlane() JobsDataPlane {
	return JobsDataPlane{Common: defaultCommon(), CallTimeout: 3 * time.Second}
}

// LoadJobsControlPlane is LoadControlPlane for a control plane node of the jobs deployment.
func LoadJobsControlPlane(path string) (JobsControlPlane, error) {
	c := DefaultJobsControlPlane()
	err := load(path, c.read)
	return c, errs.Pass(err, "core node")
}

// LoadJobsDataPlane is LoadControlPlane for a data plane node of the jobs deployment.
func LoadJobsDataPlane(path string) (JobsDataPlane, error) {
	f := DefaultJobsDataPlane()
	err := load(path, f.read)
	return f, errs.Pass(err, "front node")
}

// CheckJobsControlPlane is CheckControlPlane for a control plane node of the jobs deployment.
func CheckJobsControlPlane(c JobsControlPlane) error {
	return errs.Pass(checkSettings(c.read), "core node")
}

// CheckJobsDataPlane is CheckControlPlane for a data plane node of the jobs deployment.
func CheckJobsDataPlane(f JobsDataPlane) error { return errs.Pass(checkSettings(f.read), "front node") }

func (c *JobsControlPlane) read(r *Reader) {
	c.ControlPlane.read(r)
	r.Require("jobs")
	r.Object("jobs", c.readJobs)
	if c.Control != "" && c.Control == c.Addr {
		r.Reject("jobs.control", "must differ from addr, both are %q", c.Addr)
	}
}

func (c *JobsControlPlane) readJobs(r *Reader) {
	r.Require("control")
	r.Addr("control", &c.Control)
	r.Duration("call_timeout", &c.CallTimeout, minDuration, maxDuration)
	r.Duration("keep_over", &c.KeepFinished, 0, maxRetention)
	c.Scheduler.read(r)
}

func (s *JobsScheduler) read(r *Reader) {
	r.Duration("lease", &s.Lease, minDuration, maxDuration)
	r.Duration("hold_wait", &s.PollWait, minDuration, maxDuration)
	r.Duration("silence", &s.Silence, minDuration, maxDuration)
	r.Duration("lapse_margin", &s.LapseMargin, 0, maxDuration)
	r.Duration("early_start", &s.EarlyStart, 0, maxDuration)
	r.Float("remote_factor", &s.RemoteFactor, 1, maxCount)
	r.Duration("forget_after", &s.ForgetAfter, minDuration, maxDuration)
	if s.PollWait > s.Lease/renewalsPerLease {
		r.Reject("hold_wait", "must be at most a third of lease (%s), is %s", s.Lease, s.PollWait)
	}
	if s.ForgetAfter <= s.Lease+s.LapseMargin {
		r.Reject("forget_after", "must be over lease and lapse_margin (%s), is %s",
			s.Lease+s.LapseMargin, s.ForgetAfter)
	}
}

func (f *JobsDataPlane) read(r *Reader) {
	f.Common.read(r)
	r.Strings("core", &f.ControlPlanes, Address)
	if len(f.ControlPlanes)+len(f.Seeds) == 0 {
		r.Reject("core", "must be given when there are no seeds")
	}
	r.Duration("call_timeout", &f.CallTimeout, minDuration, maxDuration)
}

// ControlPlaneAddresses returns the addresses to try first: those of core, or the seeds if core is empty.
func (f JobsDataPlane) ControlPlaneAddresses() []string {
	if len(f.ControlPlanes) > 0 {
		return f.ControlPlanes
	}
	return f.Seeds
}
