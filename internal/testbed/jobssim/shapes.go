package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/jobs"
)

// shortJob returns a job with one short task, and the prefix of its queue.
func (c *clients) shortJob() (jobs.Spec, string) {
	return jobs.Spec{ID: c.newID(), Payload: payloadSound, Steps: []jobs.Step{{Count: 1,
		Needs: jobs.Resources{MilliCPU: 1000, MemoryMB: 256}, Estimate: 300 * time.Millisecond}}}, "/urgent/"
}

// randomJob returns a job of a random shape, and the prefix of its queue.
func (c *clients) randomJob() (jobs.Spec, string) {
	s := c.sim
	spec := jobs.Spec{ID: c.newID()}
	spec.Payload = payloadSound
	switch {
	case s.chance(0.15):
		spec.Payload = payloadFlaky
	case s.chance(0.08):
		spec.Payload = payloadPoison
	}
	spec.Payload = fmt.Sprintf("%s %s", spec.Payload, spec.ID[:4])
	for number := range 1 + s.rng.IntN(3) {
		spec.Steps = append(spec.Steps, c.randomStep(number))
	}
	prefixes := []string{"/urgent/", "/bulk/", "/moving/", "/side/"}
	prefix := prefixes[s.rng.IntN(len(prefixes))]
	switch {
	case s.chance(0.1):
		spec.Rounds = 1 + s.rng.IntN(4)
		spec.FirstRun = s.wall().Add(s.between(-time.Second, 4*time.Second))
		spec.Interval = s.between(500*time.Millisecond, 3*time.Second)
	case s.chance(0.06):
		spec.Steps = []jobs.Step{{Count: 1 + s.rng.IntN(5), Needs: c.randomNeeds(), Estimate: time.Second,
			LongRunning: true}}
	}
	return spec, prefix
}

// randomNeeds returns random resource needs of a task.
func (c *clients) randomNeeds() jobs.Resources {
	s := c.sim
	needs := jobs.Resources{MilliCPU: 500 * (1 + s.rng.IntN(6)), MemoryMB: 256 << s.rng.IntN(5)}
	if s.chance(0.06) {
		needs.GPUs = 1
	}
	return needs
}

// randomStep returns a random step, which may depend on the steps before it.
func (c *clients) randomStep(number int) jobs.Step {
	s := c.sim
	step := jobs.Step{Count: 1 + s.rng.IntN(8), Needs: c.randomNeeds(),
		Estimate: s.between(100*time.Millisecond, 4*time.Second)}
	if number > 0 && s.chance(0.7) {
		step.After = []int{number - 1}
		if number > 1 && s.chance(0.5) {
			step.After = []int{0, number - 1}
		}
	}
	if s.chance(0.15) {
		step.Label = []string{"kinda", "kindb"}[s.rng.IntN(2)]
	}
	if s.chance(0.2) {
		step.PreferredRack = fmt.Sprintf("r%d", s.rng.IntN(rackCount))
	}
	if s.chance(0.15) {
		step.MaxPerWorker = 1 + s.rng.IntN(2)
	}
	step.Checkpoints = s.chance(0.3)
	step.Speculative = s.chance(0.08)
	if s.chance(0.2) {
		step.Gang, step.Count = true, 2+s.rng.IntN(4)
		step.SameRack = s.chance(0.3)
		step.Speculative = false
		if step.MaxPerWorker > 0 {
			step.MaxPerWorker = 2
		}
	}
	return step
}

// urgentStorm submits 40 small jobs with the highest priority at once.
func (c *clients) urgentStorm() {
	for range 40 {
		spec, prefix := c.shortJob()
		spec.Steps[0].Count = 1 + c.sim.rng.IntN(4)
		c.submitNew(spec, prefix)
	}
}

// submitLargeJobs submits a job that uses a small part of each worker of a service for long, then a gang or wide step
// that fits only once these runs have ended, sometimes two of them, and then small jobs of the same queue, for which
// there is capacity all the time. It returns false if the last such jobs were submitted less than largeJobsInterval
// ago.
func (c *clients) submitLargeJobs() bool {
	s := c.sim
	if s.now < c.nextLargeJobs {
		return false
	}
	c.nextLargeJobs = s.now + largeJobsInterval
	queue := []string{"/urgent/", "/bulk/"}[s.rng.IntN(2)]
	c.submitStep(queue, jobs.Step{Count: workersPerService, MaxPerWorker: 1,
		Estimate: s.between(8*time.Second, 16*time.Second), Needs: jobs.Resources{MilliCPU: 5500, MemoryMB: 4096}})
	for range 1 + s.rng.IntN(2) {
		large := jobs.Step{Count: workersPerService, Estimate: s.between(300*time.Millisecond, 4*time.Second),
			Needs: jobs.Resources{MilliCPU: 11000, MemoryMB: 32768}, Gang: s.chance(0.7)}
		if large.Gang && s.chance(0.3) {
			large.SameRack, large.Count = true, workersPerService/rackCount
		}
		s.after(s.between(300*time.Millisecond, 800*time.Millisecond), func() { c.submitStep(queue, large) })
	}
	for range 4 + s.rng.IntN(5) {
		small := jobs.Step{Count: 1 + s.rng.IntN(2), Estimate: s.between(300*time.Millisecond, 3*time.Second),
			Needs: jobs.Resources{MilliCPU: 500 * (1 + s.rng.IntN(5)), MemoryMB: 1024}, LongRunning: s.chance(0.1)}
		s.after(s.between(time.Second, 8*time.Second), func() { c.submitStep(queue, small) })
	}
	return true
}

// largeJobsInterval is the least time between two calls of submitLargeJobs, so that all jobs can end.
const largeJobsInterval = 16 * time.Second

// submitStep submits a sound job of one step.
func (c *clients) submitStep(prefix string, step jobs.Step) {
	c.submitNew(jobs.Spec{ID: c.newID(), Payload: payloadSound, Steps: []jobs.Step{step}}, prefix)
}

// submitFailingJobs submits 10 jobs at once whose first task always fails.
func (c *clients) submitFailingJobs() {
	for range 10 {
		spec, prefix := c.shortJob()
		spec.Payload = payloadPoison + " " + spec.ID[:4]
		spec.Steps[0].Gang, spec.Steps[0].Count = c.sim.chance(0.3), 1+c.sim.rng.IntN(4)
		c.submitNew(spec, prefix)
	}
}

// burst submits three jobs with many tasks each at once.
func (c *clients) burst() {
	for range 3 {
		spec, _ := c.randomJob()
		spec.Rounds, spec.Steps = 0, []jobs.Step{{Count: 60 + c.sim.rng.IntN(60),
			Needs:    jobs.Resources{MilliCPU: 1500, MemoryMB: 512},
			Estimate: c.sim.between(300*time.Millisecond, 2*time.Second), Checkpoints: c.sim.chance(0.5)}}
		c.submitNew(spec, "/bulk/")
	}
}
