package rpc

import (
	"net"

	"github.com/puzpuzpuz/xsync/v4"

	"crosstide/internal/errs"
)

// admission is a server's admission control: it counts connections in the server's quota. A connection beyond it stays
// open until its first request is rejected, as a client would take a bare close for a node that is down. It is safe for
// concurrent use.
type admission struct {
	quota *ConnQuota // nil: every connection is admitted, none is counted
	// admitted has an entry for each open connection, by the address of its peer: whether it counts in the quota.
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

// onClose releases the quota of a connection. One without an onOpen before it, as the server's own local ones, is
// ignored.
func (a admission) onClose(c net.Conn) {
	if a.quota == nil || c.RemoteAddr() == nil {
		return
	}
	if isAdmitted, known := a.admitted.LoadAndDelete(c.RemoteAddr().String()); known && isAdmitted {
		a.quota.release()
	}
}

// check returns errs.Unavailable for a request on a connection that was not admitted.
func (a admission) check(peer string) error {
	if a.quota == nil {
		return nil
	}
	if isAdmitted, known := a.admitted.Load(peer); !known || isAdmitted {
		return nil
	}
	err := errs.New(errs.Unavailable, "too many connections are open here")
	errs.Of(err).After = retryAfter
	return err
}
