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

// ClientOptions are the settings of a Client. Zero fields take their defaults.
type ClientOptions struct {
	Clock clock.Clock // default clock.Real
	// UserTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before the kernel closes the
	// connection. Default: the kernel's.
	UserTimeout       time.Duration
	DialTimeout       time.Duration         // default 2s
	DialOverrides     map[string]string     // by address: the address to dial instead, as of a network proxy
	MaxIdlePerAddress int                   // idle connections kept per address, default 16
	IdleTimeout       time.Duration         // idle time after which a connection is closed, default 1m; servers: 2m
	MaxBody           int64                 // limit of the body of a response in bytes, default MaxBody
	ReadBuffer        int                   // bytes of the read buffer of each connection, default 4096
	Logger            log.Logger            // default: none
	Registry          prometheus.Registerer // default: the counters are not registered
	// Quota limits the open connections. A call that needs one more waits for it within its timeout; if it gets none,
	// IsQuotaExhausted is true for its error. Default: no limit.
	Quota *ConnQuota
	// MaxCallsPerAddress limits the concurrent calls to an address. Further calls wait within their timeout; if one
	// never ran, IsUnsent is true for its error. Default: no limit.
	MaxCallsPerAddress int
}

// withDefaults returns the options with their defaults filled in.
func (opt ClientOptions) withDefaults() ClientOptions {
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	opt.DialTimeout = firstPositive(opt.DialTimeout, 2*time.Second)
	opt.IdleTimeout = firstPositive(opt.IdleTimeout, time.Minute)
	opt.MaxIdlePerAddress = firstPositive(opt.MaxIdlePerAddress, 16)
	opt.MaxBody = firstPositive(opt.MaxBody, MaxBody)
	opt.ReadBuffer = firstPositive(opt.ReadBuffer, 4096)
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	return opt
}

// Client makes calls over connections pooled by address, one call at a time on each. It is safe for concurrent use. It
// never sends a call twice: if the connection breaks, the caller gets errs.Unavailable.
type Client struct {
	opt            ClientOptions
	dialer         net.Dialer
	metrics        *metrics
	pool           *pool
	addressLimiter *addressLimiter
}

// NewClient returns a client; Close releases its connections.
func NewClient(opt ClientOptions) *Client {
	opt = opt.withDefaults()
	return &Client{
		opt:            opt,
		dialer:         net.Dialer{Timeout: opt.DialTimeout, Control: setUserTimeout(opt.UserTimeout)},
		metrics:        newMetrics("caller", opt.Registry),
		pool:           newPool(opt.Clock, opt.MaxIdlePerAddress, opt.IdleTimeout, opt.Quota),
		addressLimiter: newAddressLimiter(opt.MaxCallsPerAddress),
	}
}

// setUserTimeout returns a net.Dialer's Control that sets TCP_USER_TIMEOUT, rounded up to milliseconds. If timeout is
// 0, it sets nothing.
func setUserTimeout(timeout time.Duration) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		if timeout <= 0 {
			return nil
		}
		var setErr error
		err := c.Control(func(fd uintptr) {
			ms := int((timeout + time.Millisecond - 1) / time.Millisecond)
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
		})
		return errs.Wrap(errors.Join(err, setErr), errs.Internal, "set TCP_USER_TIMEOUT")
	}
}

// Close resets every connection, dedicated ones too. Running calls and later ones fail as errs.Stopped.
func (c *Client) Close() { c.pool.close() }

// dial opens a connection once the client's quota allows one more. The connection counts in the quota until the pool
// discards it.
func (c *Client) dial(ctx context.Context, addr string) (*connection, error) {
	if err := c.opt.Quota.acquire(ctx); err != nil {
		return nil, errs.Pass(&marked[quotaExhausted]{err}, "dial")
	}
	conn, err := c.connect(ctx, addr)
	if err != nil {
		c.opt.Quota.release()
		return nil, errs.Pass(err, "dial")
	}
	if !c.pool.add(conn) {
		conn.reset()
		c.opt.Quota.release()
		return nil, errs.New(errs.Stopped, "the client is closed")
	}
	return conn, nil
}

// connect opens a TCP connection. The caller has acquired the quota for it.
func (c *Client) connect(ctx context.Context, addr string) (*connection, error) {
	dialAddr := addr
	if override := c.opt.DialOverrides[addr]; override != "" {
		dialAddr = override
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", dialAddr)
	if err != nil {
		_ = level.Debug(c.opt.Logger).Log("msg", "dial failed", "addr", addr, "err", err)
		return nil, errs.Wrap(err, errs.Unavailable, "connect")
	}
	tcp := conn.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, errs.Wrap(err, errs.Internal, "get the raw connection")
	}
	return &connection{TCPConn: tcp, raw: raw, reader: bufio.NewReaderSize(tcp, c.opt.ReadBuffer), addr: addr}, nil
}

// acquire implements connectionSource with the pool: it waits until the address limiter allows a call to addr, and
// returns an idle connection or else a new one.
func (c *Client) acquire(ctx context.Context, addr string) (*connection, error) {
	if err := c.addressLimiter.acquire(ctx, addr); err != nil {
		return nil, errs.Pass(err, "limit of concurrent calls")
	}
	if conn := c.pool.get(addr); conn != nil {
		return conn, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		c.addressLimiter.release(addr)
		return nil, errs.Pass(err, "open a connection to %s", addr)
	}
	return conn, nil
}

// release implements connectionSource.
func (c *Client) release(conn *connection, reusable bool) {
	defer c.addressLimiter.release(conn.addr)
	if reusable {
		c.pool.put(conn)
	} else {
		c.pool.discard(conn)
	}
}

// isClosed implements connectionSource.
func (c *Client) isClosed() bool { return c.pool.isClosed() }
