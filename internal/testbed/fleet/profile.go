package fleet

import "crosstide/internal/errs"

// Profiles are the two deployments of the brief at their own sizes.
var profiles = map[string]Shape{
	// one region of three zones; the tracking service on 48 minions of 16 cores, eight to a rack, that start
	// whatever they are told
	"lubra": {ControlPlanes: 5, DataPlanes: 9, Workers: 48, Zones: 3, Cores: 16, Kind: "obey"},
	// one region of four zones; activation on 29 minions of 64 cores with GPUs, reconciliation on 19 of 16 cores;
	// they refuse what does not fit
	"mamlaka": {ControlPlanes: 5, DataPlanes: 8, Workers: 48, Zones: 4, Cores: 16, Kind: "check"},
}

// WithProfile returns the shape of a deployment by name, in place of s but for what is no matter of size. Failure: Invalid.
func (s Shape) WithProfile(name string) (Shape, error) {
	p, ok := profiles[name]
	if !ok {
		return s, errs.Field(errs.Invalid, "profile", "is %q, must be lubra or mamlaka", name)
	}
	p.Profile, p.Bin, p.Proxied, p.FailingWorkers, p.SharedProcesses = name, s.Bin, s.Proxied, s.FailingWorkers, s.SharedProcesses
	return p, nil
}

// setResources returns minion i of a profile its size and labels.
func (s Shape) setResources(i int, m *Node) {
	m.Cores = s.Cores
	if s.Profile != "mamlaka" {
		return
	}
	m.Labels = map[string]string{"pool": "recon"}
	if i < 29 {
		m.Cores, m.GPUs, m.Labels = 64, 4, map[string]string{"pool": "activation"}
	}
}
