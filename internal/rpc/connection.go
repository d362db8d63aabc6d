package rpc

import (
	"bufio"
	"container/list"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// connection is one connection.
type connection struct {
	*net.TCPConn
	raw         syscall.RawConn
	reader      *bufio.Reader
	addr        string
	idleSince   time.Duration // idle since, on the caller's clock
	idleElement *list.Element // of the pool's list of idle connections; nil while in use
}

// reset closes at once: unsent and unconfirmed bytes are thrown away, the peer gets a reset.
func (l *connection) reset() {
	_ = l.SetLinger(0) // without it the close is an ordinary one
	_ = l.Close()      // nothing on it counts any more
}

// write hands b to the kernel straight, calling check immediately before each write(2); sent counts.
func (l *connection) write(b []byte, sent *int, check func() error) error {
	var failed error
	err := l.raw.Write(func(fd uintptr) bool {
		for *sent < len(b) {
			if failed = check(); failed != nil {
				return true
			}
			n, err := unix.Write(int(fd), b[*sent:])
			switch {
			case err == unix.EAGAIN:
				return false // wait until the socket takes more
			case err == unix.EINTR:
			case err != nil:
				failed = err
				return true
			default:
				*sent += n
			}
		}
		return true
	})
	if failed == nil {
		failed = err
	}
	return errs.Wrap(failed, errs.Unavailable, "write")
}

// alive reports whether an idle connection is still open with nothing to be read.
func (l *connection) alive() bool {
	open := false
	err := l.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open && l.reader.Buffered() == 0
}

// response reads the head of the final response; interim ones (1xx) are passed over.
func (l *connection) response(method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(l.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "response")
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
}
