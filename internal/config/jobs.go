package config

import (
	"time"

	"crosstide/internal/errs"
)

// JobsControlPlane holds the settings of a control-plane node of the jobs deployment: those of ControlPlane and the
// section jobs. Each field's comment begins with the setting's name.
type JobsControlPlane struct {
	ControlPlane
	Control     string        // jobs.control: IP:port that serves workers and operators; required
	CallTimeout time.Duration // jobs.call_timeout: timeout of an operator's call; default 3s
	// KeepFinished, jobs.keep_over: how long a finished job can be read; default 10m.
	KeepFinished time.Duration
	MemoryMB     int // jobs.memory_mb: memory of the machine in MiB, from which limits follow; default 0: none
	Scheduler    JobsScheduler
}

// JobsScheduler holds the scheduler's settings in the section jobs.
type JobsScheduler struct {
	Lease        time.Duration // jobs.lease: lease duration of the runs on a worker; default 5s
	PollWait     time.Duration // jobs.hold_wait: how long a worker may delay its answer; default 1s, at most lease/3
	Silence      time.Duration // jobs.silence: a worker that is silent for this long gets no starts; default 4s
	LapseMargin  time.Duration // jobs.lapse_margin: time for a worker to kill its runs after its lease; default 600ms
	EarlyStart   time.Duration // jobs.early_start: how long before it is due a round may start; default 0s
	RemoteFactor float64       // jobs.remote_factor: factor on the duration of a task far from its data; default 1.5
	ForgetAfter  time.Duration // jobs.forget_after: a worker without runs is dropped after this silence; default 15s
}

// JobsDataPlane holds the settings of a data-plane node of the jobs deployment.
type JobsDataPlane struct {
	Common
	ControlPlanes []string      // core: addresses of control-plane nodes; required without seeds
	CallTimeout   time.Duration // call_timeout: timeout of a client's call; default 3s
	MemoryMB      int           // memory_mb: memory of the machine in MiB, from which limits follow; default 0: none
}

// renewalsPerLease is the minimum number of renewals in the duration of a lease.
const renewalsPerLease = 3

// DefaultJobsControlPlane returns the default settings. Required settings are empty.
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

// DefaultJobsDataPlane returns the default settings. Required settings are empty.
func DefaultJobsDataPlane() JobsDataPlane {
	return JobsDataPlane{Common: defaultCommon(), CallTimeout: 3 * time.Second}
}

// LoadJobsControlPlane is LoadControlPlane for a control-plane node of the jobs deployment.
func LoadJobsControlPlane(path string) (JobsControlPlane, error) {
	c := DefaultJobsControlPlane()
	err := load(path, c.read)
	return c, errs.Pass(err, "control-plane node")
}

// LoadJobsDataPlane is LoadControlPlane for a data-plane node of the jobs deployment.
func LoadJobsDataPlane(path string) (JobsDataPlane, error) {
	d := DefaultJobsDataPlane()
	err := load(path, d.read)
	return d, errs.Pass(err, "data-plane node")
}

// CheckJobsControlPlane is CheckControlPlane for a control-plane node of the jobs deployment.
func CheckJobsControlPlane(c JobsControlPlane) error {
	return errs.Pass(checkSettings(c.read), "control-plane node")
}

// CheckJobsDataPlane is CheckControlPlane for a data-plane node of the jobs deployment.
func CheckJobsDataPlane(d JobsDataPlane) error {
	return errs.Pass(checkSettings(d.read), "data-plane node")
}

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
	r.Int("memory_mb", &c.MemoryMB, 0, maxCount)
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
		r.Reject("forget_after", "must be greater than lease + lapse_margin (%s), is %s",
			s.Lease+s.LapseMargin, s.ForgetAfter)
	}
}

func (d *JobsDataPlane) read(r *Reader) {
	d.Common.read(r)
	r.Strings("core", &d.ControlPlanes, Address)
	if len(d.ControlPlanes)+len(d.Seeds) == 0 {
		r.Reject("core", "must be given if there are no seeds")
	}
	r.Duration("call_timeout", &d.CallTimeout, minDuration, maxDuration)
	r.Int("memory_mb", &d.MemoryMB, 0, maxCount)
}

// ControlPlaneAddresses returns the addresses in core, or the seeds if core is empty.
func (d JobsDataPlane) ControlPlaneAddresses() []string {
	if len(d.ControlPlanes) > 0 {
		return d.ControlPlanes
	}
	return d.Seeds
}
