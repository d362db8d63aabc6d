package rpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// ClientOptions are the settings of a Caller; all have defaults.
type ClientOptions struct {
	Clock             clock.Clock           // default clock.Real
	UserTimeout       time.Duration         // TCP_USER_TIMEOUT: how long the kernel may resend unconfirmed bytes; 0: its own
	DialTimeout       time.Duration         // default 2s
	DialOverrides     map[string]string     // an address in it is reached by dialing the other one, as a rehearsal's links want
	MaxIdlePerAddress int                   // idle connections kept per address, default 16
	IdleTimeout       time.Duration         // an idle connection is dropped after it, default 1m, under a server's 2m
	MaxBody           int64                 // bound on an answer in bytes, default MaxBody
	ReadBuffer        int                   // bytes of the read buffer of each connection, default 4096
	Logger            log.Logger            // default: none
	Registry          prometheus.Registerer // default: the counters are not shown
	// Share bounds the open connections: a call that needs one more waits its turn, and fails as IsQuotaExhausted when its time is
	// over. Default: nothing bounds them.
	Quota *ConnQuota
	// MaxCallsPerAddress is how many calls to an address run at a time. Others wait their turn within their time; one whose turn
	// never came is Unsent. Default: any number.
	MaxCallsPerAddress int
}

// Client asks pairs over connections pooled per address, one call at a time on each. It is safe for any number
// of goroutines. A call is never sent twice: a broken connection is the asker's errs.Unavailable.
type Client struct {
	opt            ClientOptions
	dialer         net.Dialer
	metrics        *metrics
	pool           *pool
	addressLimiter *addressLimiter
}

// NewClient makes a caller. Close it in the end.
func NewClient(opt ClientOptions) *Client {
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	opt.DialTimeout = firstPositive(opt.DialTimeout, 2*time.Second)
	opt.IdleTimeout = firstPositive(opt.IdleTimeout, time.Minute)
	if opt.MaxIdlePerAddress <= 0 {
		opt.MaxIdlePerAddress = 16
	}
	if opt.MaxBody <= 0 {
		opt.MaxBody = MaxBody
	}
	if opt.ReadBuffer <= 0 {
		opt.ReadBuffer = 4096
	}
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	k := &Client{opt: opt, metrics: newMetrics("caller", opt.Registry),
		pool: newPool(opt.Clock, opt.MaxIdlePerAddress, opt.IdleTimeout, opt.Quota), addressLimiter: newAddressLimiter(opt.MaxCallsPerAddress)}
	k.dialer = net.Dialer{Timeout: opt.DialTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		if opt.UserTimeout <= 0 {
			return nil
		}
		var set error
		err := c.Control(func(fd uintptr) {
			ms := int((opt.UserTimeout + time.Millisecond - 1) / time.Millisecond)
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
		})
		return errs.Wrap(errors.Join(err, set), errs.Internal, "set TCP_USER_TIMEOUT")
	}}
	return k
}

// Close resets every connection, those of lines too; calls that still run end as errs.Stopped.
func (k *Client) Close() { k.pool.close() }

// Call sends call to addr (host:port) and returns the answer. It ends at the latest after within, on the caller's
// clock, or with ctx: the connection is closed with a reset and the error is errs.Timeout, also while dialing. A refused or
// broken connection is errs.Unavailable, a closed caller errs.Stopped, an answer that is no JSON of A
// errs.Malformed; a failure answered by the peer comes back with its kind, field, message, hint and After.
// See Unsent for calls of which nothing was sent, Answered for failures that the peer returned. Example:
//
//	verdict, err := rpc.Call(ctx, caller, "10.0.0.7:7000", Vote, ballot, 500*time.Millisecond)
func Call[C, A any](ctx context.Context, k *Client, addr string, p Endpoint[C, A], call C, timeout time.Duration) (A, error) {
	var answer, none A
	if err := k.CallInto(ctx, addr, p.Path, call, &answer, timeout); err != nil {
		return none, errs.Pass(err, "shared connection")
	}
	return answer, nil
}

// CallInto is Ask for callers that hold pairs of several types: answer is a pointer to the answer's type. After an
// error it may hold a part of the answer.
func (k *Client) CallInto(ctx context.Context, addr, path string, call, answer any, timeout time.Duration) error {
	return errs.Pass(k.call(ctx, k, addr, path, call, answer, timeout, nil), "ask %s", path)
}

// dial opens a connection within the caller's share.
func (k *Client) dial(ctx context.Context, addr string) (*connection, error) {
	if err := k.opt.Quota.acquire(ctx); err != nil {
		return nil, errs.Pass(&quotaError{err}, "dial")
	}
	l, err := k.connect(ctx, addr)
	if err != nil {
		k.opt.Quota.release()
		return nil, errs.Pass(err, "dial")
	}
	if !k.pool.add(l) {
		l.reset()
		k.opt.Quota.release()
		return nil, errs.New(errs.Stopped, "the caller is closed")
	}
	return l, nil
}

func (k *Client) connect(ctx context.Context, addr string) (*connection, error) {
	by := addr
	if link := k.opt.DialOverrides[addr]; link != "" {
		by = link
	}
	c, err := k.dialer.DialContext(ctx, "tcp", by)
	if err != nil {
		_ = level.Debug(k.opt.Logger).Log("msg", "dial failed", "addr", addr, "err", err)
		return nil, errs.Wrap(err, errs.Unavailable, "connect")
	}
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, errs.Wrap(err, errs.Internal, "raw connection")
	}
	return &connection{TCPConn: tcp, raw: raw, reader: bufio.NewReaderSize(tcp, k.opt.ReadBuffer), addr: addr}, nil
}

// acquire gives a connection to addr, once it is the call's turn there: an idle one, or a new one once the caller's share has
// room for it.
func (k *Client) acquire(ctx context.Context, addr string) (*connection, error) {
	if err := k.addressLimiter.acquire(ctx, addr); err != nil {
		return nil, errs.Pass(err, "wait for a turn")
	}
	if l := k.pool.get(addr); l != nil {
		return l, nil
	}
	l, err := k.dial(ctx, addr)
	if err != nil {
		k.addressLimiter.release(addr)
		return nil, errs.Pass(err, "no idle connection to %s", addr)
	}
	return l, nil
}

func (k *Client) release(l *connection, reusable bool) {
	defer k.addressLimiter.release(l.addr)
	if reusable {
		k.pool.put(l)
	} else {
		k.pool.discard(l)
	}
}

func (k *Client) isClosed() bool { return k.pool.isClosed() }
