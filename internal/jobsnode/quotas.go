package jobsnode

import (
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// reservedDescriptors is the number of file descriptors kept for the store's files, the listeners and the runtime.
const reservedDescriptors = 64

// Reservations of a control-plane node's connections: the total divided by the divisor is reserved for a use. Any use
// may take unreserved connections.
const (
	peersDivisor    = 16 // calls to other nodes
	nodesDivisor    = 8  // calls from other nodes
	controlDivisor  = 4  // calls from workers, such as heartbeats, and from operators
	renewalsDivisor = 4  // lease renewals and stops to workers
	startsDivisor   = 8  // starts to workers
)

// Reservations of a data-plane node's connections: the total divided by the divisor is reserved for a use. Clients may
// take all unreserved connections.
const (
	controlPlaneDivisor = 8 // calls to control-plane nodes
	readyDivisor        = 8 // readiness checks
	clientsDivisor      = 2 // clients' calls
)

// reservation is one use of connections.
type reservation struct {
	name    string          // in metrics
	divisor int             // the total divided by it is reserved
	quota   **rpc.ConnQuota // set by reserve
}

// reserve creates a quota for each of the uses of a process's connections. descriptors limits the file descriptors of
// the process; 0: the system's limit.
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

// controlPlaneQuotas has the quotas of a control-plane node's connections. Waiting calls get connections in the order
// of the reservations, so renewals and stops come before starts: a lease that is not renewed ends running work, and a
// gang that cannot be stopped waits for members that never start.
type controlPlaneQuotas struct {
	limiter                                 *rpc.ConnLimiter
	peers, nodes, control, renewals, starts *rpc.ConnQuota
}

func newControlPlaneQuotas(descriptors int) (q controlPlaneQuotas, err error) {
	q.limiter, err = reserve(descriptors,
		reservation{"peers", peersDivisor, &q.peers},
		reservation{"nodes", nodesDivisor, &q.nodes},
		reservation{"control", controlDivisor, &q.control},
		reservation{"holds", renewalsDivisor, &q.renewals},
		reservation{"starts", startsDivisor, &q.starts})
	return q, errs.Pass(err, "control-plane node")
}

// dataPlaneQuotas has the quotas of a data-plane node's connections.
type dataPlaneQuotas struct {
	limiter                      *rpc.ConnLimiter
	controlPlane, ready, clients *rpc.ConnQuota
}

func newDataPlaneQuotas(descriptors int) (q dataPlaneQuotas, err error) {
	q.limiter, err = reserve(descriptors,
		reservation{"core", controlPlaneDivisor, &q.controlPlane},
		reservation{"asked", readyDivisor, &q.ready},
		reservation{"clients", clientsDivisor, &q.clients})
	return q, errs.Pass(err, "data-plane node")
}

// maxConnections returns the number of connections that fit into descriptors, or into the system's limit if that is
// lower or if descriptors is 0. Failure: Settings if that leaves too few for connections.
func maxConnections(descriptors int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errs.Wrap(err, errs.Internal, "read the limit of file descriptors")
	}
	if allowed := int(min(limit.Cur, 1<<20)); descriptors <= 0 || allowed < descriptors {
		descriptors = allowed
	}
	if descriptors <= 2*reservedDescriptors {
		return 0, errs.Field(errs.Settings, "descriptors", "got %d, need at least %d",
			descriptors, 2*reservedDescriptors+1)
	}
	return descriptors - reservedDescriptors, nil
}
