package rpc

import (
	"net"

	"github.com/puzpuzpuz/xsync/v4"

	"crosstide/internal/errs"
)

// admission is a server's admission control: it counts connections in the server's quota. A connection beyond the quota
// stays open until its first request has been rejected. If it were closed without a response, the client would conclude
// that the node is down. An admission is safe for concurrent use.
type admission struct {
	quota *ConnQuota // nil: every connection is admitted and not counted
	// admitted has each open connection by its peer's address. The value is true if the connection counts in the quota,
	// false if its requests are rejected.
	admitted *xsync.Map[string, bool]
}

func newAdmission(quota *ConnQuota) admission {
	return admission{quota: quota, admitted: xsync.NewMap[string, bool]()}
}

// onOpen admits a new connection, or marks it as one whose requests are rejected.
func (a admission) onOpen(c net.Conn) {
	if a.quota == nil {
		return
	}
	isAdmitted := a.quota.tryAcquire()
	if !isAdmitted {
		a.quota.countRejected()
	}
	a.admitted.Store(c.RemoteAddr().String(), isAdmitted)
}

// onClose releases the quota of an admitted connection. It ignores connections for which onOpen was not called, such as
// the server's own local ones.
func (a admission) onClose(c net.Conn) {
	if a.quota == nil || c.RemoteAddr() == nil {
		return
	}
	if isAdmitted, known := a.admitted.LoadAndDelete(c.RemoteAddr().String()); known && isAdmitted {
		a.quota.release()
	}
}

// check returns errs.Unavailable if the connection from the address peer was not admitted, nil otherwise.
func (a admission) check(peer string) error {
	if a.quota == nil {
		return nil
	}
	if isAdmitted, known := a.admitted.Load(peer); !known || isAdmitted {
		return nil
	}
	err := errs.New(errs.Unavailable, "too many open connections on this node")
	errs.Of(err).RetryAfter = retryAfter
	return err
}
