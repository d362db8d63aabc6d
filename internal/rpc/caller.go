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

// CallerOptions are the settings of a Caller; all have defaults.
type CallerOptions struct {
	Clock       clock.Clock           // default clock.Real
	UserTimeout time.Duration         // TCP_USER_TIMEOUT: how long the kernel may resend unconfirmed bytes; 0: its own
	DialTimeout time.Duration         // default 2s
	Via         map[string]string     // an address in it is reached by dialing the other one, as a rehearsal's links want
	Idle        int                   // idle connections kept per address, default 16
	IdleFor     time.Duration         // an idle connection is dropped after it, default 1m, under a server's 2m
	MaxBody     int64                 // bound on an answer in bytes, default MaxBody
	ReadBuffer  int                   // bytes of the read buffer of each connection, default 4096
	Logger      log.Logger            // default: none
	Registry    prometheus.Registerer // default: the counters are not shown
	// Share bounds the open connections: a call that needs one more waits its turn, and fails as NoRoom when its time is
	// over. Default: nothing bounds them.
	Share *Share
	// PerAddress is how many calls to an address run at a time. Others wait their turn within their time; one whose turn
	// never came is Unsent. Default: any number.
	PerAddress int
}

// Caller asks pairs over connections pooled per address, one call at a time on each. It is safe for any number
// of goroutines. A call is never sent twice: a broken connection is the asker's errs.Unavailable.
type Caller struct {
	opt    CallerOptions
	dialer net.Dialer
	meter  *meter
	pool   *pool
	turns  *turns
}

// NewCaller makes a caller. Close it in the end.
func NewCaller(opt CallerOptions) *Caller {
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	opt.DialTimeout = firstPositive(opt.DialTimeout, 2*time.Second)
	opt.IdleFor = firstPositive(opt.IdleFor, time.Minute)
	if opt.Idle <= 0 {
		opt.Idle = 16
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
	k := &Caller{opt: opt, meter: newMeter("caller", opt.Registry),
		pool: newPool(opt.Clock, opt.Idle, opt.IdleFor, opt.Share), turns: newTurns(opt.PerAddress)}
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
func (k *Caller) Close() { k.pool.close() }

// Ask sends call to addr (host:port) and returns the answer. It ends at the latest after within, on the caller's
// clock, or with ctx: the connection is closed with a reset and the error is errs.Timeout, also while dialing. A refused or
// broken connection is errs.Unavailable, a closed caller errs.Stopped, an answer that is no JSON of A
// errs.Malformed; a failure answered by the peer comes back with its kind, field, message, hint and After.
// See Unsent for calls of which nothing was sent, Answered for failures that the peer returned. Example:
//
//	verdict, err := rpc.Ask(ctx, caller, "10.0.0.7:7000", Vote, ballot, 500*time.Millisecond)
func Ask[C, A any](ctx context.Context, k *Caller, addr string, p Pair[C, A], call C, within time.Duration) (A, error) {
	var answer, none A
	if err := k.AskInto(ctx, addr, p.Path, call, &answer, within); err != nil {
		return none, errs.Pass(err, "shared connection")
	}
	return answer, nil
}

// AskInto is Ask for callers that hold pairs of several types: answer is a pointer to the answer's type. After an
// error it may hold a part of the answer.
func (k *Caller) AskInto(ctx context.Context, addr, path string, call, answer any, within time.Duration) error {
	return errs.Pass(k.ask(ctx, k, addr, path, call, answer, within, nil), "ask %s", path)
}

// dial opens a connection within the caller's share.
func (k *Caller) dial(ctx context.Context, addr string) (*connection, error) {
	if err := k.opt.Share.acquire(ctx); err != nil {
		return nil, errs.Pass(&noRoom{err}, "dial")
	}
	l, err := k.connect(ctx, addr)
	if err != nil {
		k.opt.Share.release()
		return nil, errs.Pass(err, "dial")
	}
	if !k.pool.add(l) {
		l.reset()
		k.opt.Share.release()
		return nil, errs.New(errs.Stopped, "the caller is closed")
	}
	return l, nil
}

func (k *Caller) connect(ctx context.Context, addr string) (*connection, error) {
	by := addr
	if link := k.opt.Via[addr]; link != "" {
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

// take gives a connection to addr, once it is the call's turn there: an idle one, or a new one once the caller's share has
// room for it.
func (k *Caller) take(ctx context.Context, addr string) (*connection, error) {
	if err := k.turns.acquire(ctx, addr); err != nil {
		return nil, errs.Pass(err, "wait for a turn")
	}
	if l := k.pool.take(addr); l != nil {
		return l, nil
	}
	l, err := k.dial(ctx, addr)
	if err != nil {
		k.turns.release(addr)
		return nil, errs.Pass(err, "no idle connection to %s", addr)
	}
	return l, nil
}

func (k *Caller) release(l *connection, whole bool) {
	defer k.turns.release(l.addr)
	if whole {
		k.pool.put(l)
	} else {
		k.pool.drop(l)
	}
}

func (k *Caller) isClosed() bool { return k.pool.isClosed() }
