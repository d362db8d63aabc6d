package policysim

import (
	"fmt"

	"crosstide/internal/storage"
	"crosstide/internal/testbed/policyworker"
)

// build makes the fleet: 5 cplanes, 3 dplanes, 6 minions in 3 zones, and the people.
func (s *sim) build() {
	s.people = &people{proc: s.proc("people", "")}
	for i, m := range s.members() {
		s.cplanes = append(s.cplanes, &cplane{proc: s.proc(m.Addr, zone(i)), disk: storage.NewMemDisk()})
	}
	for i := range 3 {
		s.dplanes = append(s.dplanes, &dplane{proc: s.proc(fmt.Sprintf("d%d", i), zone(i))})
	}
	for i := range 6 {
		m := &node{proc: s.proc(fmt.Sprintf("m%d", i), zone(i)), kind: policyworker.Check, cores: 2 + s.rnd.IntN(4), lab: map[string]string{}}
		if i%2 == 0 {
			m.kind = policyworker.Obey
		}
		if i < 4 {
			m.lab["disk"] = "ssd"
		}
		s.minions = append(s.minions, m)
	}
	s.oracle = s.newOracle()
	if s.opt.Parties || s.opt.Break == "balance" {
		s.money = newBalances(s)
	}
	s.people.start()
	for _, c := range s.cplanes {
		c.open(true)
	}
	for _, d := range s.dplanes {
		d.open()
	}
	for _, m := range s.minions {
		m.open()
	}
	s.faults = &faultInjector{sim: s}
	s.faults.start()
	s.money.start()
}
