package rpc

import (
	"io"
	"net"
	"os"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// waitForLoops waits until every event loop of nbio is running: a loop misses a stop that happens before it runs, and
// the engine's Stop would wait for it forever. Each loop receives one end of a local connection whose other end is
// closed; a loop that reports the close is running.
func (s *Server) waitForLoops() error {
	loops := s.engine.Engine.NPoller
	if loops == 1 {
		return errs.Pass(s.waitForOnlyLoop(), "the only event loop")
	}
	closed := make(chan struct{}, loops)
	s.engine.OnClose(func(c net.Conn, _ error) {
		s.onClose(c)
		if _, local := c.RemoteAddr().(*net.UnixAddr); local {
			closed <- struct{}{}
		}
	})
	for loop := range loops {
		if err := s.connectToLoop(loop, loops); err != nil {
			return errs.Pass(err, "event loop %d", loop)
		}
	}
	for range loops {
		<-closed
	}
	return nil
}

// waitForOnlyLoop is waitForLoops for a single loop. Any connection reaches that loop, so this dials the server's
// own address, which also works on machines without local socket pairs.
func (s *Server) waitForOnlyLoop() error {
	closed := make(chan struct{}, 1)
	s.engine.OnClose(func(c net.Conn, _ error) {
		s.onClose(c)
		select {
		case closed <- struct{}{}:
		default:
		}
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		return errs.Wrap(err, errs.Internal, "dial the server's own address")
	}
	if err := c.Close(); err != nil {
		return errs.Wrap(err, errs.Internal, "close")
	}
	<-closed
	return nil
}

// connectToLoop adds to one event loop a connection whose other end is closed. nbio selects the loop by the number of
// the file descriptor, so duplicates are made until one has a matching number. All others are closed before that one is
// added: epoll reports events of a connection as long as a duplicate is open, under a number that may have been reused.
func (s *Server) connectToLoop(loop, loops int) error {
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "open a local socket pair")
	}
	localEnd, peerEnd := os.NewFile(uintptr(ends[0]), "here"), os.NewFile(uintptr(ends[1]), "there")
	defer peerEnd.Close()
	surplus := []io.Closer{localEnd}
	var matching *nbio.Conn
	for err == nil && matching == nil {
		var c net.Conn
		var end *nbio.Conn
		if c, err = net.FileConn(localEnd); err == nil {
			end, err = nbio.NBConn(c) // closes c
		}
		if err == nil && end.Hash()%loops == loop {
			matching = end
		} else if err == nil {
			surplus = append(surplus, end)
		}
	}
	for _, duplicate := range surplus {
		_ = duplicate.Close() // nothing was sent on it
	}
	if err == nil {
		_, err = s.engine.AddConn(matching)
	}
	return errs.Wrap(err, errs.Internal, "add a local connection")
}
