package rpc

import (
	"net"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// listen opens the server's socket, before the engine starts.
func (s *Server) listen() error {
	socket, err := net.Listen("tcp", s.opt.Addr)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "listen")
	}
	s.listener = &listener{Listener: socket, clock: s.opt.Clock, closed: make(chan struct{})}
	return nil
}

// takeListener hands the open socket to the engine, in place of one that it would open.
func (s *Server) takeListener(string, string) (net.Listener, error) { return s.listener, nil }

// listener keeps nbhttp from spinning: nbhttp calls Accept again at once after every error, until it is stopped.
type listener struct {
	net.Listener
	clock     clock.Clock
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// acceptInterval is the pause after a failed Accept.
const acceptInterval = 50 * time.Millisecond

// Accept returns the next connection. After a failure, as for want of descriptors, it pauses and tries again; once the
// listener is closed it returns errs.Stopped.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if !clock.Sleep(l.closed, l.clock, acceptInterval) {
			return nil, errs.Wrap(err, errs.Stopped, "accept")
		}
	}
}

// stopAccepting closes the socket; Close also makes a waiting Accept return.
func (l *listener) stopAccepting() { _ = l.Listener.Close() } // it may be closed already

// Close closes the socket and ends a waiting Accept.
func (l *listener) Close() error {
	l.stopAccepting()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
