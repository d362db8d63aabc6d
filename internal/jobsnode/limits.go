package jobsnode

import "crosstide/internal/rpc"

// The limits of each server. Clients' bodies hold a job. Operators' bodies hold a configuration, workers' a listing of
// their runs; the options of a node may set another limit for them. Nodes send each other batches of log entries.
var (
	clientLimits = rpc.Limits{HeadBytes: 64 << 10, BodyBytes: 4 << 20, UnsentBytes: 64 << 10,
		SocketReadBytes: 16 << 10}
	readyLimits = rpc.Limits{HeadBytes: 16 << 10, BodyBytes: 16 << 10, UnsentBytes: 16 << 10,
		SocketReadBytes: 8 << 10}
	controlLimits = rpc.Limits{HeadBytes: 64 << 10, BodyBytes: 16 << 20, UnsentBytes: 256 << 10,
		SocketReadBytes: 32 << 10}
	nodeLimits = rpc.Limits{HeadBytes: 16 << 10, BodyBytes: 16 << 20, UnsentBytes: 256 << 10,
		SocketReadBytes: 32 << 10}
)

// withBody returns limits with another limit of the length of a body, in bytes, unless that is 0.
func withBody(limits rpc.Limits, bytes int64) rpc.Limits {
	if bytes > 0 {
		limits.BodyBytes = bytes
	}
	return limits
}
