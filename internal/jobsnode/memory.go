package jobsnode

import (
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// Divisors of the memory that callers may make a node hold: the total divided by the divisor is reserved for a server.
// Any server may use what is not reserved.
const (
	clientsMemoryDivisor = 2
	readyMemoryDivisor   = 8
	nodesMemoryDivisor   = 2
	controlMemoryDivisor = 4
)

// jobMemoryDivisor is the divisor of a control-plane node's memory that gives the limit of the memory of all jobs.
const jobMemoryDivisor = 4

// memoryReservation is one server's part of the memory.
type memoryReservation struct {
	name    string
	divisor int64
	share   **rpc.MemoryShare // set by reserveMemory
}

// reserveMemory creates a share of the memory of a process for each of its servers. processBytes 0 means no limit; the
// budget and the shares are nil then.
func reserveMemory(processBytes int64, servers ...memoryReservation) (*rpc.MemoryBudget, error) {
	budget := rpc.NewMemoryBudget(processBytes)
	for _, server := range servers {
		var err error
		if *server.share, err = budget.NewShare(server.name, server.divisor); err != nil {
			return nil, errs.Pass(err, "shares")
		}
	}
	return budget, nil
}

// dataPlaneMemory has the shares of a data-plane node's memory.
type dataPlaneMemory struct {
	budget         *rpc.MemoryBudget
	clients, ready *rpc.MemoryShare
}

func newDataPlaneMemory(processBytes int64) (m dataPlaneMemory, err error) {
	m.budget, err = reserveMemory(processBytes,
		memoryReservation{"clients", clientsMemoryDivisor, &m.clients},
		memoryReservation{"asked", readyMemoryDivisor, &m.ready})
	return m, errs.Pass(err, "data-plane node")
}

// controlPlaneMemory has the shares of a control-plane node's memory.
type controlPlaneMemory struct {
	budget         *rpc.MemoryBudget
	nodes, control *rpc.MemoryShare
}

func newControlPlaneMemory(processBytes int64) (m controlPlaneMemory, err error) {
	m.budget, err = reserveMemory(processBytes,
		memoryReservation{"nodes", nodesMemoryDivisor, &m.nodes},
		memoryReservation{"control", controlMemoryDivisor, &m.control})
	return m, errs.Pass(err, "control-plane node")
}
