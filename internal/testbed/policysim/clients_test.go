package policysim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestOpenJobsAreBounded(t *testing.T) {
	Convey("Clients keep no more jobs open than the fleet can finish in the fault-free phase", t, func() {
		s := newSim(Options{Seed: 9, Faults: []string{}})
		maxOpen := s.clients.maxOpen()
		So(maxOpen, ShouldEqual, 15*jobsPerCore) // the workers of this seed have 15 cores
		Convey("including abandoned jobs that are still open in the store", func() {
			for range maxOpen {
				j := &clientJob{spec: s.clients.randomSpec(), abandoned: true}
				s.clients.jobs = append(s.clients.jobs, j)
				s.checker.reference.Jobs[j.spec.Key] = &state.Job{Spec: j.spec, Phase: state.JobRunning}
			}
			s.clients.submitJobs()
			So(s.clients.jobs, ShouldHaveLength, maxOpen)
			Convey("until one of these jobs ends", func() {
				s.checker.reference.Jobs[s.clients.jobs[0].spec.Key].Phase = state.JobDone
				s.clients.submitJobs()
				So(s.clients.jobs, ShouldHaveLength, maxOpen+1)
			})
		})
	})
}
