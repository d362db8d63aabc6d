package policysim

import (
	"fmt"

	"crosstide/internal/config"
	"crosstide/internal/storage"
	"crosstide/internal/testbed/policyworker"
)

// build makes the fleet: 5 control-plane nodes, 3 data-plane nodes and 6 workers in 3 zones, and the clients. The order
// of the steps, and of their draws, is part of every history.
func (s *sim) build() {
	s.clients = &clients{process: s.newProcess("people", "")}
	for i, m := range initialMembers() {
		machine := s.newProcess(m.Addr, zone(i))
		s.controlPlanes = append(s.controlPlanes, &controlPlane{process: machine, disk: storage.NewMemDisk()})
	}
	for i := range 3 {
		s.dataPlanes = append(s.dataPlanes, &dataPlane{process: s.newProcess(fmt.Sprintf("d%d", i), zone(i))})
	}
	for i := range 6 {
		s.workers = append(s.workers, s.newWorker(i))
	}
	s.checker = newInvariantChecker(s)
	if s.options.Parties || s.options.WithoutGuard == "balance" {
		s.billing, s.billingChecker = newBillingScenario(s), newBillingChecker(s)
	}
	s.clients.start()
	for _, c := range s.controlPlanes {
		c.open(true)
	}
	for _, d := range s.dataPlanes {
		d.open()
	}
	for _, w := range s.workers {
		w.open()
	}
	s.faults = &faultInjector{sim: s}
	s.faults.start()
	s.billing.start()
}

// newWorker makes a worker: every other one obeys start orders without a check of its own, two thirds have an ssd.
func (s *sim) newWorker(number int) *worker {
	w := &worker{process: s.newProcess(fmt.Sprintf("m%d", number), zone(number)), kind: policyworker.KindCheck,
		cores: 2 + s.rng.IntN(4), labels: map[string]string{}}
	if number%2 == 0 {
		w.kind = policyworker.KindObey
	}
	if number < 4 {
		w.labels["disk"] = "ssd"
	}
	return w
}

// initialMembers are the store's first members, one at each control-plane node.
func initialMembers() (out []config.Member) {
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
