package rpc

import (
	"net"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// listen opens the server's socket.
func (s *Server) listen() error {
	socket, err := net.Listen("tcp", s.opt.Addr)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "listen")
	}
	s.listener = &listener{Listener: socket, clock: s.opt.Clock, released: make(chan struct{})}
	return nil
}

// takeListener hands the open socket to the engine.
func (s *Server) takeListener(string, string) (net.Listener, error) { return s.listener, nil }

// listener keeps nbhttp from spinning: nbhttp calls Accept again at once after every error, until it is stopped.
type listener struct {
	net.Listener
	clock    clock.Clock
	once     sync.Once
	released chan struct{}
}

// Accept returns the next connection. After a failure it waits before it tries again; once the listener is closed
// it returns errs.Stopped.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		again := make(chan struct{})
		timer := l.clock.Set(50*time.Millisecond, func() { close(again) })
		select {
		case <-l.released:
			timer.Stop()
			return nil, errs.Wrap(err, errs.Stopped, "accept")
		case <-again:
		}
	}
}

// stopAccepting closes the socket; Close also makes a waiting Accept return.
func (l *listener) stopAccepting() { _ = l.Listener.Close() } // a listener that is closed already is well

// Close closes the socket and ends a waiting Accept.
func (l *listener) Close() error {
	l.stopAccepting()
	l.once.Do(func() { close(l.released) })
	return nil
}
