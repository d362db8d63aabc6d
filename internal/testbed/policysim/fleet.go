package policysim

import (
	"fmt"

	"crosstide/internal/config"
	"crosstide/internal/storage"
	"crosstide/internal/testbed/policyworker"
)

// build creates and starts the fleet: 5 control-plane nodes, 3 data-plane nodes and 6 workers in 3 zones, and the
// clients. The order of these steps and of their draws is part of every history.
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

// newWorker returns a worker that is not running yet. Workers with an even number obey start orders without checking
// them; the first four have the label disk=ssd.
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

// initialMembers returns the store's first members, one for each control-plane node.
func initialMembers() (members []config.Member) {
	for i := range 5 {
		name := fmt.Sprintf("c%d", i)
		members = append(members, config.Member{ID: name, Addr: name, Zone: zone(i)})
	}
	return members
}

// zone returns the zone of node number i.
func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// controlPlaneAt returns the control-plane node of a process; nil if it is another kind of process.
func (s *sim) controlPlaneAt(p *process) *controlPlane {
	for _, c := range s.controlPlanes {
		if c.process == p {
			return c
		}
	}
	return nil
}

// dataPlaneAt returns the data-plane node of a process; nil if it is another kind of process.
func (s *sim) dataPlaneAt(p *process) *dataPlane {
	for _, d := range s.dataPlanes {
		if d.process == p {
			return d
		}
	}
	return nil
}

// workerAt returns the worker of a process; nil if it is another kind of process.
func (s *sim) workerAt(p *process) *worker {
	for _, w := range s.workers {
		if w.process == p {
			return w
		}
	}
	return nil
}
