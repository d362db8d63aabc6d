package fleet

import "crosstide/internal/errs"

// Shape is the size and composition of a fleet.
type Shape struct {
	ControlPlanes   int
	DataPlanes      int
	Workers         int // each with its own process
	Zones           int
	Cores           int    // of each worker
	Kind            string // of the workers: policyworker.KindObey, KindCheck, or "mixed": the two alternate
	Bin             string // folder with the programs
	Proxied         bool   // all calls between nodes go through a network proxy
	SharedWorkers   int    // workers that share processes
	SharedProcesses int    // processes of the shared workers
	Profile         string // name of a deployment, see WithProfile; empty: none
	FailingWorkers  int    // how many workers, the first ones, fail every run
}

// Check validates a shape. Failure: Invalid.
func (s Shape) Check() error {
	switch {
	case s.ControlPlanes < 1 || s.DataPlanes < 1 || s.Workers < 0:
		return errs.Field(errs.Invalid, "nodes",
			"need at least one cplane and one dplane, and no negative number of minions")
	case s.Zones < 1 || s.Cores < 1:
		return errs.Field(errs.Invalid, "zones", "zones and cores must be at least 1")
	case s.SharedWorkers < 0 || s.SharedWorkers > 0 && (s.SharedProcesses < 1 || s.SharedWorkers < 2*s.SharedProcesses):
		return errs.Field(errs.Invalid, "hollow", "%d hollow minions cannot share %d processes: each needs at least 2",
			s.SharedWorkers, s.SharedProcesses)
	case s.SharedWorkers > 0 && s.Proxied:
		return errs.Field(errs.Invalid, "hollow", "hollow minions cannot be combined with links")
	case s.Kind != "obey" && s.Kind != "check" && s.Kind != mixedKinds:
		return errs.Field(errs.Invalid, "kind", "is %q, must be obey, check or mixed", s.Kind)
	}
	return nil
}

const mixedKinds = "mixed"

// kindOf returns the kind of worker i.
func (s Shape) kindOf(i int) string {
	if s.Kind == mixedKinds {
		return []string{"check", "obey"}[i%2]
	}
	return s.Kind
}

// linkCount returns the number of links between daemons and between data planes and workers, or 0 without a proxy.
func (s Shape) linkCount() int {
	if !s.Proxied {
		return 0
	}
	daemons := s.ControlPlanes + s.DataPlanes
	return daemons*(daemons-1) + 2*s.DataPlanes*s.Workers
}

// processCount returns the number of processes that need a port, without the proxy.
func (s Shape) processCount() int {
	n := s.ControlPlanes + s.DataPlanes + s.Workers
	if s.SharedWorkers > 0 {
		n += s.SharedProcesses
	}
	return n
}

// workersIn returns how many workers run in shared process i.
func (s Shape) workersIn(i int) int {
	n := s.SharedWorkers / s.SharedProcesses
	if i < s.SharedWorkers%s.SharedProcesses {
		n++
	}
	return n
}

// activationWorkers is how many workers of the deployment mamlaka, the first ones, are for activation. The others are
// for reconciliation.
const activationWorkers = 29

// profiles holds the two deployments that crosstide is built for, at full size.
var profiles = map[string]Shape{
	// One region of three zones. The tracking service has 48 workers of 16 cores, eight to a rack, which start
	// whatever they are ordered to.
	"lubra": {ControlPlanes: 5, DataPlanes: 9, Workers: 48, Zones: 3, Cores: 16, Kind: "obey"},
	// One region of four zones. Activation has 29 workers of 64 cores with GPUs, reconciliation 19 of 16 cores; they
	// refuse orders that do not fit.
	"mamlaka": {ControlPlanes: 5, DataPlanes: 8, Workers: 48, Zones: 4, Cores: 16, Kind: "check"},
}

// WithProfile returns the shape of the named deployment, with Bin, Proxied, FailingWorkers and SharedProcesses taken
// from s. Failure: Invalid.
func (s Shape) WithProfile(name string) (Shape, error) {
	p, ok := profiles[name]
	if !ok {
		return s, errs.Field(errs.Invalid, "profile", "is %q, must be lubra or mamlaka", name)
	}
	p.Profile, p.Bin, p.Proxied = name, s.Bin, s.Proxied
	p.FailingWorkers, p.SharedProcesses = s.FailingWorkers, s.SharedProcesses
	return p, nil
}

// setResources sets the cores, GPUs and labels of worker i. Only the deployment mamlaka has GPUs and labels.
func (s Shape) setResources(i int, worker *Node) {
	worker.Cores = s.Cores
	if s.Profile != "mamlaka" {
		return
	}
	worker.Labels = map[string]string{"pool": "recon"}
	if i < activationWorkers {
		worker.Cores, worker.GPUs, worker.Labels = 64, 4, map[string]string{"pool": "activation"}
	}
}
