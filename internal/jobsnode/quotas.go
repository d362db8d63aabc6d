package jobsnode

import (
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// reservedDescriptors are left to the store's files, the listeners and the runtime: no connection takes them.
const reservedDescriptors = 64

// Parts of a core node's connections that each use has for itself, as one in so many. What is left over goes to whoever
// needs it.
const (
	peersDivisor    = 16 // calls to other nodes
	nodesDivisor    = 8  // calls of other nodes
	controlDivisor  = 4  // heartbeats of workers, operators
	renewalsDivisor = 4  // hold calls and stops to workers
	startsDivisor   = 8  // starts to workers
)

// Parts of a front node's connections. Clients may have all that is left over.
const (
	coreDivisor    = 8 // calls to the core
	readyDivisor   = 8 // questions for readiness
	clientsDivisor = 2 // clients' calls
)

// reservation is a use of connections and the part that is reserved to it.
type reservation struct {
	name    string
	divisor int
	share   **rpc.ConnQuota
}

// reserve cuts up the connections of a process that may have so many descriptors; 0: as many as the system allows.
func reserve(descriptors int, uses ...reservation) (*rpc.ConnLimiter, error) {
	total, err := maxConnections(descriptors)
	if err != nil {
		return nil, errs.Pass(err, "descriptors")
	}
	budget := rpc.NewConnLimiter(total)
	for _, use := range uses {
		if *use.share, err = budget.NewQuota(use.name, total/use.divisor); err != nil {
			return nil, errs.Pass(err, "shares")
		}
	}
	return budget, nil
}

// coreShares are the uses of a core node's connections. Where room comes up, hold calls and stops go before starts: a lease
// that is not renewed ends work that runs, and a gang that cannot be stopped waits for members that never come.
type coreShares struct {
	budget                                  *rpc.ConnLimiter
	peers, nodes, control, renewals, starts *rpc.ConnQuota
}

func newCoreShares(descriptors int) (s coreShares, err error) {
	s.budget, err = reserve(descriptors, reservation{"peers", peersDivisor, &s.peers}, reservation{"nodes", nodesDivisor, &s.nodes},
		reservation{"control", controlDivisor, &s.control}, reservation{"holds", renewalsDivisor, &s.renewals},
		reservation{"starts", startsDivisor, &s.starts})
	return s, errs.Pass(err, "core node")
}

// frontShares are the uses of a front node's connections.
type frontShares struct {
	budget               *rpc.ConnLimiter
	core, ready, clients *rpc.ConnQuota
}

func newFrontShares(descriptors int) (s frontShares, err error) {
	s.budget, err = reserve(descriptors, reservation{"core", coreDivisor, &s.core}, reservation{"asked", readyDivisor, &s.ready},
		reservation{"clients", clientsDivisor, &s.clients})
	return s, errs.Pass(err, "front node")
}

// maxConnections is how many connections fit into so many descriptors; 0: those that the system allows.
func maxConnections(descriptors int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errs.Wrap(err, errs.Internal, "read the limit of descriptors")
	}
	if allowed := int(min(limit.Cur, 1<<20)); descriptors <= 0 || allowed < descriptors {
		descriptors = allowed
	}
	if descriptors <= 2*reservedDescriptors {
		return 0, errs.Field(errs.Settings, "descriptors", "%d are too few, %d are needed", descriptors, 2*reservedDescriptors+1)
	}
	return descriptors - reservedDescriptors, nil
}
