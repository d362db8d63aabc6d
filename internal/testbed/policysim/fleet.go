package policysim

import (
	"fmt"

	"crosstide/internal/config"
	"crosstide/internal/storage"
	"crosstide/internal/testbed/policyworker"
)

// build makes the fleet: 5 cplanes, 3 dplanes, 6 minions in 3 zones, and the people.
func (s *sim) build() {
	s.clients = &clients{process: s.newProcess("people", "")}
	for i, m := range s.members() {
		s.controlPlanes = append(s.controlPlanes, &controlPlane{process: s.newProcess(m.Addr, zone(i)), disk: storage.NewMemDisk()})
	}
	for i := range 3 {
		s.dataPlanes = append(s.dataPlanes, &dataPlane{process: s.newProcess(fmt.Sprintf("d%d", i), zone(i))})
	}
	for i := range 6 {
		m := &worker{process: s.newProcess(fmt.Sprintf("m%d", i), zone(i)), kind: policyworker.KindCheck, cores: 2 + s.rng.IntN(4), labels: map[string]string{}}
		if i%2 == 0 {
			m.kind = policyworker.KindObey
		}
		if i < 4 {
			m.labels["disk"] = "ssd"
		}
		s.workers = append(s.workers, m)
	}
	s.checker = newInvariantChecker(s)
	if s.options.Parties || s.options.WithoutGuard == "balance" {
		s.billing = newBillingScenario(s)
	}
	s.clients.start()
	for _, c := range s.controlPlanes {
		c.open(true)
	}
	for _, d := range s.dataPlanes {
		d.open()
	}
	for _, m := range s.workers {
		m.open()
	}
	s.faults = &faultInjector{sim: s}
	s.faults.start()
	s.billing.start()
}

// members are the store's first members, one at each control-plane node.
func (s *sim) members() (out []config.Member) {
	for i := range 5 {
		name := fmt.Sprintf("c%d", i)
		out = append(out, config.Member{ID: name, Addr: name, Zone: zone(i)})
	}
	return out
}

// zone is the zone of the node of a number.
func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// controlPlaneAt is the control-plane node that runs as a process; nil for another process.
func (s *sim) controlPlaneAt(p *process) *controlPlane {
	for _, c := range s.controlPlanes {
		if c.process == p {
			return c
		}
	}
	return nil
}

// dataPlaneAt is the data-plane node that runs as a process; nil for another process.
func (s *sim) dataPlaneAt(p *process) *dataPlane {
	for _, d := range s.dataPlanes {
		if d.process == p {
			return d
		}
	}
	return nil
}

// workerAt is the worker that runs as a process; nil for another process.
func (s *sim) workerAt(p *process) *worker {
	for _, w := range s.workers {
		if w.process == p {
			return w
		}
	}
	return nil
}
