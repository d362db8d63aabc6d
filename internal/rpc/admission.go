package rpc

import (
	"net"

	"github.com/puzpuzpuz/xsync/v4"

	"crosstide/internal/errs"
)

// admission counts a server's connections in its share. The engine tells of each that opens and closes; one that finds no
// room is served a refusal, for a bare close would look like a node that is gone.
type admission struct {
	share *Share // nil: nothing is counted
	// held tells of each open connection, by its peer, whether it has room in the share.
	held *xsync.Map[string, bool]
}

func newAdmission(share *Share) admission {
	return admission{share: share, held: xsync.NewMap[string, bool]()}
}

// opened takes in a new connection.
func (a admission) opened(c net.Conn) {
	if a.share == nil {
		return
	}
	room := a.share.tryAcquire()
	if !room {
		a.share.refuse()
	}
	a.held.Store(c.RemoteAddr().String(), room)
}

// closed takes in that a connection is gone. Ones that were never told of, as the engine's own, are passed over.
func (a admission) closed(c net.Conn) {
	if a.share == nil || c.RemoteAddr() == nil {
		return
	}
	if room, known := a.held.LoadAndDelete(c.RemoteAddr().String()); known && room {
		a.share.release()
	}
}

// check is errs.Unavailable for a request on a connection that found no room.
func (a admission) check(peer string) error {
	if a.share == nil {
		return nil
	}
	if room, known := a.held.Load(peer); !known || room {
		return nil
	}
	err := errs.New(errs.Unavailable, "too many connections are open here")
	errs.Of(err).After = comeBack
	return err
}
