package rpc

import (
	"net"

	"github.com/puzpuzpuz/xsync/v4"

	"crosstide/internal/errs"
)

// admission is a server's admission control: it counts connections in the server's quota. One that found none free
// stays open until its first request is rejected: a bare close would look like a node that is down.
type admission struct {
	quota *ConnQuota // nil: every connection is admitted, none is counted
	// admitted has for each open connection, by its peer, whether it counts in the quota.
	admitted *xsync.Map[string, bool]
}

func newAdmission(quota *ConnQuota) admission {
	return admission{quota: quota, admitted: xsync.NewMap[string, bool]()}
}

// onOpen admits a new connection or marks it to be rejected.
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

// onClose releases what a connection has of the quota. Connections of which onOpen was never called, as the engine's
// own, are ignored.
func (a admission) onClose(c net.Conn) {
	if a.quota == nil || c.RemoteAddr() == nil {
		return
	}
	if isAdmitted, known := a.admitted.LoadAndDelete(c.RemoteAddr().String()); known && isAdmitted {
		a.quota.release()
	}
}

// check is errs.Unavailable for a request on a connection that was not admitted.
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
