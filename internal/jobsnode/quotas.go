package jobsnode

import (
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// reservedDescriptors are for the store's files, the listeners and the runtime: no connection takes them.
const reservedDescriptors = 64

// Each use of a core node's connections has one in so many for itself. What is left over any use may take.
const (
	peersDivisor    = 16 // calls to other nodes
	nodesDivisor    = 8  // calls of other nodes
	controlDivisor  = 4  // heartbeats of workers, operators
	renewalsDivisor = 4  // lease renewals and stops to workers
	startsDivisor   = 8  // starts to workers
)

// Each use of a front node's connections has one in so many for itself. Clients may have all that is left over.
const (
	coreDivisor    = 8 // calls to the core
	readyDivisor   = 8 // readiness checks
	clientsDivisor = 2 // clients' calls
)

// reservation is a use of connections, and where its quota is to be put.
type reservation struct {
	name    string // as metrics show it
	divisor int
	quota   **rpc.ConnQuota
}

// reserve divides the connections of a process that may have so many descriptors; 0: as many as the system allows.
func reserve(descriptors int, uses ...reservation) (*rpc.ConnLimiter, error) {
	total, err := maxConnections(descriptors)
	if err != nil {
		return nil, errs.Pass(err, "descriptors")
	}
	limiter := rpc.NewConnLimiter(total)
	for _, use := range uses {
		if *use.quota, err = limiter.NewQuota(use.name, total/use.divisor); err != nil {
			return nil, errs.Pass(err, "quotas")
		}
	}
	return limiter, nil
}

// coreQuotas are the uses of a core node's connections. Where a connection becomes free, renewals and stops go before
// starts: a lease that is not renewed ends work that runs, and a gang that cannot be stopped waits for members that
// never come.
type coreQuotas struct {
	limiter                                 *rpc.ConnLimiter
	peers, nodes, control, renewals, starts *rpc.ConnQuota
}

func newCoreQuotas(descriptors int) (q coreQuotas, err error) {
	q.limiter, err = reserve(descriptors,
		reservation{"peers", peersDivisor, &q.peers},
		reservation{"nodes", nodesDivisor, &q.nodes},
		reservation{"control", controlDivisor, &q.control},
		reservation{"holds", renewalsDivisor, &q.renewals},
		reservation{"starts", startsDivisor, &q.starts})
	return q, errs.Pass(err, "core node")
}

// frontQuotas are the uses of a front node's connections.
type frontQuotas struct {
	limiter              *rpc.ConnLimiter
	core, ready, clients *rpc.ConnQuota
}

func newFrontQuotas(descriptors int) (q frontQuotas, err error) {
	q.limiter, err = reserve(descriptors,
		reservation{"core", coreDivisor, &q.core},
		reservation{"asked", readyDivisor, &q.ready},
		reservation{"clients", clientsDivisor, &q.clients})
	return q, errs.Pass(err, "front node")
}

// maxConnections is how many connections fit into so many descriptors; 0: as many as the system allows.
func maxConnections(descriptors int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errs.Wrap(err, errs.Internal, "read the limit of descriptors")
	}
	if allowed := int(min(limit.Cur, 1<<20)); descriptors <= 0 || allowed < descriptors {
		descriptors = allowed
	}
	if descriptors <= 2*reservedDescriptors {
		return 0, errs.Field(errs.Settings, "descriptors", "%d are too few, %d are needed",
			descriptors, 2*reservedDescriptors+1)
	}
	return descriptors - reservedDescriptors, nil
}
