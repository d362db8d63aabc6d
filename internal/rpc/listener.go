package rpc

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// listen opens the server's socket. Failure: Settings.
func (s *Server) listen() error {
	config := net.ListenConfig{Control: setBufferSizes(s.limits())}
	socket, err := config.Listen(s.requests.Context(), "tcp", s.opt.Addr)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "listen")
	}
	s.listener = &listener{Listener: socket, clock: s.opt.Clock, closed: make(chan struct{})}
	return nil
}

// setBufferSizes returns a net.ListenConfig's Control that sets the sizes of the kernel's buffers. Accepted connections
// inherit them.
func setBufferSizes(limits Limits) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		set := func(fd, option, size int) {
			if size > 0 {
				setErr = errors.Join(setErr, unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, size))
			}
		}
		err := c.Control(func(fd uintptr) {
			set(int(fd), unix.SO_RCVBUF, limits.SocketReadBytes)
			set(int(fd), unix.SO_SNDBUF, limits.SocketWriteBytes)
		})
		return errs.Wrap(errors.Join(err, setErr), errs.Internal, "set the sizes of the socket's buffers")
	}
}

// takeListener is the engine's Listen function. It returns the socket that listen opened.
func (s *Server) takeListener(string, string) (net.Listener, error) { return s.listener, nil }

// listener pauses after a failed Accept: after an error nbhttp calls Accept again immediately, and would spin.
type listener struct {
	net.Listener
	clock     clock.Clock
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// acceptInterval is the pause after a failed Accept.
const acceptInterval = 50 * time.Millisecond

// Accept returns the next connection. After an error, such as a lack of file descriptors, it pauses and tries again.
// Failure: Stopped once the listener is closed.
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

// stopAccepting closes the socket: new connections are refused. An Accept that is pausing continues until Close.
func (l *listener) stopAccepting() { _ = l.Listener.Close() } // it may be closed already

// Close closes the socket, and makes Accept return.
func (l *listener) Close() error {
	l.stopAccepting()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
