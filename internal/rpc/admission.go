package rpc

import (
	"net"

	"github.com/puzpuzpuz/xsync/v4"

	"crosstide/internal/errs"
)

// admission counts a server's connections in its share. The engine tells of each that opens and closes; one that finds no
// room is served a refusal, for a bare close would look like a node that is gone.
type admission struct {
	quota *ConnQuota // nil: nothing is counted
	// held tells of each open connection, by its peer, whether it has room in the share.
	connections *xsync.Map[string, bool]
}

func newAdmission(quota *ConnQuota) admission {
	return admission{quota: quota, connections: xsync.NewMap[string, bool]()}
}

// onOpen takes in a new connection.
func (a admission) onOpen(c net.Conn) {
	if a.quota == nil {
		return
	}
	headroom := a.quota.tryAcquire()
	if !headroom {
		a.quota.countRejected()
	}
	a.connections.Store(c.RemoteAddr().String(), headroom)
}

// onClose takes in that a connection is gone. Ones that were never told of, as the engine's own, are passed over.
func (a admission) onClose(c net.Conn) {
	if a.quota == nil || c.RemoteAddr() == nil {
		return
	}
	if headroom, known := a.connections.LoadAndDelete(c.RemoteAddr().String()); known && headroom {
		a.quota.release()
	}
}

// check is errs.Unavailable for a request on a connection that found no room.
func (a admission) check(peer string) error {
	if a.quota == nil {
		return nil
	}
	if headroom, known := a.connections.Load(peer); !known || headroom {
		return nil
	}
	err := errs.New(errs.Unavailable, "too many connections are open here")
	errs.Of(err).After = retryAfter
	return err
}
