package config

import (
	"time"

	"crosstide/internal/errs"
)

// JobsCore is the settings of a core node that serves jobs: those of a cplane, and a section jobs.
type JobsCore struct {
	Cplane
	Control string        // jobs.control: IP:PORT where workers and operators reach the node, needed
	Within  time.Duration // jobs.call_timeout: of an operator's call; default 3s
	// KeepOver, jobs.keep_over, is how long a job that is over can be asked for; default 10m.
	KeepOver  time.Duration
	Scheduler JobsScheduler
}

// JobsScheduler is the part of the section jobs that the scheduler goes by.
type JobsScheduler struct {
	Lease        time.Duration // jobs.lease: of all that runs on a worker; default 5s
	HoldWait     time.Duration // jobs.hold_wait: how long a worker may keep its answer back; default 1s, at most a third of lease
	Silence      time.Duration // jobs.silence: no starts on a worker unheard for so long; default 4s
	LapseMargin  time.Duration // jobs.lapse_margin: within it a worker has killed all once its lease is over; default 600ms
	EarlyStart   time.Duration // jobs.early_start: how much ahead of its time a round may start; default 0s
	RemoteFactor float64       // jobs.remote_factor: how many times as long a task takes far from its data; default 1.5
	ForgetAfter  time.Duration // jobs.forget_after: a worker without runs, unheard for so long, is forgotten; default 15s
}

// JobsFront is the settings of a front node that serves jobs.
type JobsFront struct {
	Common
	Core        []string      // core: addresses of core nodes; this or seeds is needed
	CallTimeout time.Duration // call_timeout: of a client's call; default 3s
}

// holdShare is how often a lease is renewed at least while it runs.
const holdShare = 3

// DefaultJobsCore has every default, and nothing that is needed.
func DefaultJobsCore() JobsCore {
	return JobsCore{Cplane: DefaultCplane(), Within: 3 * time.Second, KeepOver: 10 * time.Minute, Scheduler: JobsScheduler{
		Lease: 5 * time.Second, HoldWait: time.Second, Silence: 4 * time.Second, LapseMargin: 600 * time.Millisecond,
		RemoteFactor: 1.5, ForgetAfter: 15 * time.Second}}
}

// DefaultJobsFront has every default, and nothing that is needed.
func DefaultJobsFront() JobsFront {
	return JobsFront{Common: defaultCommon(), CallTimeout: 3 * time.Second}
}

// LoadJobsCore is LoadCplane for a core node that serves jobs.
func LoadJobsCore(path string) (JobsCore, error) {
	c := DefaultJobsCore()
	err := load(path, c.read)
	return c, errs.Pass(err, "core node")
}

// LoadJobsFront is LoadCplane for a front node that serves jobs.
func LoadJobsFront(path string) (JobsFront, error) {
	f := DefaultJobsFront()
	err := load(path, f.read)
	return f, errs.Pass(err, "front node")
}

// CheckJobsCore is CheckCplane for a core node that serves jobs.
func CheckJobsCore(c JobsCore) error { return errs.Pass(checkSettings(c.read), "core node") }

// CheckJobsFront is CheckCplane for a front node that serves jobs.
func CheckJobsFront(f JobsFront) error { return errs.Pass(checkSettings(f.read), "front node") }

func (c *JobsCore) read(r *Reader) {
	c.Cplane.read(r)
	r.Need("jobs")
	r.Object("jobs", c.readJobs)
	if c.Control != "" && c.Control == c.Addr {
		r.Wrong("jobs.control", "must differ from addr, both are %q", c.Addr)
	}
}

func (c *JobsCore) readJobs(r *Reader) {
	r.Need("control")
	r.Addr("control", &c.Control)
	r.Duration("call_timeout", &c.Within, shortest, longest)
	r.Duration("keep_over", &c.KeepOver, 0, oldest)
	c.Scheduler.read(r)
}

func (s *JobsScheduler) read(r *Reader) {
	r.Duration("lease", &s.Lease, shortest, longest)
	r.Duration("hold_wait", &s.HoldWait, shortest, longest)
	r.Duration("silence", &s.Silence, shortest, longest)
	r.Duration("lapse_margin", &s.LapseMargin, 0, longest)
	r.Duration("early_start", &s.EarlyStart, 0, longest)
	r.Float("remote_factor", &s.RemoteFactor, 1, largest)
	r.Duration("forget_after", &s.ForgetAfter, shortest, longest)
	if s.HoldWait > s.Lease/holdShare {
		r.Wrong("hold_wait", "must be at most a third of lease (%s), is %s", s.Lease, s.HoldWait)
	}
	if s.ForgetAfter <= s.Lease+s.LapseMargin {
		r.Wrong("forget_after", "must be over lease and lapse_margin (%s), is %s", s.Lease+s.LapseMargin, s.ForgetAfter)
	}
}

func (f *JobsFront) read(r *Reader) {
	f.Common.read(r)
	r.Strings("core", &f.Core, Address)
	if len(f.Core)+len(f.Seeds) == 0 {
		r.Wrong("core", "must be given when there are no seeds")
	}
	r.Duration("call_timeout", &f.CallTimeout, shortest, longest)
}

// CoreAddresses are the addresses of core nodes to ask at first.
func (f JobsFront) CoreAddresses() []string {
	if len(f.Core) > 0 {
		return f.Core
	}
	return f.Seeds
}
