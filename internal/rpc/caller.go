package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
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
}

// Caller asks pairs over connections pooled per address, one call at a time on each. It is safe for any number
// of goroutines. A call is never sent twice: a broken connection is the asker's errs.Unavailable.
type Caller struct {
	opt    CallerOptions
	dialer net.Dialer
	meter  *meter

	mu     sync.Mutex
	idle   map[string][]*link
	live   map[*link]struct{}
	closed bool
}

// NewCaller makes a caller. Close it in the end.
func NewCaller(opt CallerOptions) *Caller {
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	opt.DialTimeout = cmpOr(opt.DialTimeout, 2*time.Second)
	opt.IdleFor = cmpOr(opt.IdleFor, time.Minute)
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
	k := &Caller{opt: opt, meter: newMeter("caller", opt.Registry), idle: map[string][]*link{}, live: map[*link]struct{}{}}
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
func (k *Caller) Close() {
	k.mu.Lock()
	k.closed = true
	live := k.live
	k.live, k.idle = map[*link]struct{}{}, map[string][]*link{}
	k.mu.Unlock()
	for l := range live {
		l.reset()
	}
}

// Ask sends call to addr (host:port) and gives the answer. It ends at the latest after within, on the caller's
// clock, or with ctx: the connection is closed with a reset and the error is errs.Timeout, also while dialing. A refused or
// broken connection is errs.Unavailable, a closed caller errs.Stopped, an answer that is no JSON of A
// errs.Malformed; a failure answered by the peer comes back with its kind, field, message, hint and After.
// See Unsent for calls that surely were not made, Answered for failures that the peer gave. Example:
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

// Line is a dedicated connection to one address: one call at a time, dialed at need, shared with nothing else.
type Line struct {
	k    *Caller
	addr string
	turn chan struct{}

	mu     sync.Mutex
	link   *link
	closed bool
}

// NewLine makes a line to addr that is not dialed yet; k gives its options, counters and end.
func NewLine(k *Caller, addr string) *Line {
	return &Line{k: k, addr: addr, turn: make(chan struct{}, 1)}
}

// AskLine is Ask over l. Calls wait for their turn, within counts that too. before (nil for none) runs after
// dialing and encoding, immediately before each write(2) of the call: once as a rule, again only when the socket
// took a part. Its error stops the writing, closes the connection with a reset and comes back wrapped, its kind kept.
// Nothing ever waits in a user-space buffer. After any error but one answered by the peer the next call
// dials anew. Example:
//
//	answer, err := rpc.AskLine(ctx, line, Hold, orders, time.Second, lease.Check)
//	if rpc.Unsent(err) {
//		void(orders) // the minion surely has not seen them
//	}
func AskLine[C, A any](ctx context.Context, l *Line, p Pair[C, A], call C, within time.Duration, before func() error) (A, error) {
	var answer, none A
	if err := l.k.ask(ctx, l, l.addr, p.Path, call, &answer, within, before); err != nil {
		return none, errs.Pass(err, "line, ask %s", p.Path)
	}
	return answer, nil
}

// Close resets the line's connection; a call that runs fails, later ones are errs.Stopped.
func (l *Line) Close() {
	l.mu.Lock()
	held := l.link
	l.link, l.closed = nil, true
	l.mu.Unlock()
	if held != nil {
		l.k.drop(held)
	}
}

// Unsent tells that a call surely failed before its first byte was handed to the kernel.
func Unsent(err error) bool {
	var u *unsent
	return errors.As(err, &u)
}

type unsent struct{ cause error }

// Error says what kept the call from being sent.
func (u *unsent) Error() string { return "not sent: " + u.cause.Error() }

// Unwrap returns the error under the mark.
func (u *unsent) Unwrap() error { return u.cause }

// Answered tells that err is a failure that the peer's handler (or its server) gave as the answer.
func Answered(err error) bool {
	var a *answered
	return errors.As(err, &a)
}

type answered struct{ cause error }

// Error says with which error the peer answered.
func (a *answered) Error() string { return "answered: " + a.cause.Error() }

// Unwrap returns the error under the mark.
func (a *answered) Unwrap() error { return a.cause }

// holder lends connections to calls.
type holder interface {
	take(ctx context.Context, addr string) (*link, error)
	give(l *link, whole bool) // whole: the call went well to its last byte
	ended() bool
}

var errLate = errors.New("no answer in time")

func (k *Caller) ask(ctx context.Context, h holder, addr, path string, call, answer any, within time.Duration, before func() error) error {
	k.meter.calls.WithLabelValues(path).Inc()
	room := len(path) + len(addr) + 160
	out, in := takeFrame(room), takeFrame(0)
	defer out.free()
	defer in.free()
	err := out.encode(call)
	if err == nil {
		err = k.askFrame(ctx, h, addr, path, out.head(room, path, addr), &in.buf, within, before)
	} else {
		err = errs.Pass(&unsent{err}, "the call")
	}
	if err == nil {
		err = errs.Wrap(json.Unmarshal(in.buf.Bytes(), answer), errs.Malformed, "the answer of %s at %s", path, addr)
	}
	if err != nil {
		k.meter.failures.WithLabelValues(path, string(known(errs.KindOf(err)))).Inc()
	}
	return errs.Pass(err, "call")
}

// askFrame makes one call of a pair: an answer other than 200 is the failure it tells of.
func (k *Caller) askFrame(ctx context.Context, h holder, addr, path string, out []byte, in *bytes.Buffer, within time.Duration, before func() error) error {
	t := transfer{addr: addr, path: path, method: http.MethodPost, out: out, in: in, within: within, before: before}
	res, err := k.transfer(ctx, h, t)
	if err != nil {
		return errs.Pass(err, "send")
	}
	if res.StatusCode == http.StatusOK {
		return nil
	}
	return errs.Pass(decodeError(res, in.Bytes()), "%s at %s", path, addr)
}

// head puts the request's head right before the body, into the room kept for it, and gives the whole request.
func (f *frame) head(room int, path, addr string) []byte {
	whole := f.buf.Bytes()
	b := make([]byte, 0, room)
	b = append(append(b, "POST "...), path...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), addr...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(whole)-room), 10)
	b = append(b, "\r\n\r\n"...)
	start := room - len(b)
	copy(whole[start:], b)
	return whole[start:]
}

// transfer is one request as it goes out, and the buffer that takes the body of its response.
type transfer struct {
	addr, path, method string
	out                []byte // head and body
	in                 *bytes.Buffer
	within             time.Duration
	before             func() error // before each write; nil: none
}

// transfer sends a request once and reads the whole response, of any status, over a connection of h.
func (k *Caller) transfer(ctx context.Context, h holder, t transfer) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if t.within <= 0 {
		cancel(errLate)
	} else {
		defer k.opt.Clock.Set(t.within, func() { cancel(errLate) }).Stop()
	}
	sent := 0
	explain := func(err error) error {
		if sent == 0 {
			err = &unsent{err}
		}
		switch {
		case context.Cause(ctx) != nil:
			return errs.Wrap(errors.Join(context.Cause(ctx), err), errs.Timeout, "%s at %s: over after at most %s", t.path, t.addr, t.within)
		case h.ended():
			return errs.Wrap(err, errs.Stopped, "%s at %s: closed on our side", t.path, t.addr)
		}
		return errs.Wrap(err, errs.Unavailable, "%s at %s", t.path, t.addr)
	}
	l, err := h.take(ctx, t.addr)
	if err != nil {
		return nil, errs.Pass(explain(err), "connect")
	}
	whole := false
	stop := context.AfterFunc(ctx, l.reset)
	defer func() { h.give(l, stop() && whole) }()

	var refused error
	err = l.write(t.out, &sent, func() error {
		if context.Cause(ctx) != nil {
			return errs.Wrap(context.Cause(ctx), errs.Timeout, "before the write")
		}
		if t.before == nil {
			return nil
		}
		if refused = t.before(); refused != nil {
			return errs.Pass(refused, "held back")
		}
		return nil
	})
	k.meter.out.Add(float64(sent))
	if refused != nil {
		if sent == 0 {
			refused = &unsent{refused}
		}
		return nil, errs.Pass(refused, "%s at %s: held back before the write", t.path, t.addr)
	}
	if err != nil {
		return nil, errs.Pass(explain(err), "write the call")
	}
	res, err := l.response(t.method)
	if err != nil {
		return nil, errs.Pass(explain(err), "read the answer's head")
	}
	err = readInto(t.in, res.Body, res.ContentLength, k.opt.MaxBody)
	k.meter.in.Add(float64(t.in.Len()))
	if errs.Is(err, errs.TooLarge) {
		return nil, errs.Pass(err, "the answer of %s at %s", t.path, t.addr)
	}
	if err != nil {
		return nil, errs.Pass(explain(err), "read the answer")
	}
	whole = !res.Close && l.read.Buffered() == 0
	return res, nil
}

// response reads the head of the final response; interim ones (1xx) are passed over.
func (l *link) response(method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(l.read, &http.Request{Method: method})
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "response")
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
}

// decodeError makes the failure of an answer other than 200; a failure of ours is marked for Answered.
func decodeError(res *http.Response, body []byte) error {
	var r reply
	if err := json.Unmarshal(body, &r); err != nil || r.Kind == "" {
		kind := errs.Internal
		if res.StatusCode >= http.StatusInternalServerError {
			kind = errs.Unavailable
		}
		return errs.New(kind, "status %d without a fault of ours", res.StatusCode)
	}
	f := &errs.Error{Kind: known(r.Kind), Field: r.Field, Message: r.Message, Hint: r.Hint}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
		f.After = time.Duration(s) * time.Second
	}
	return &answered{f}
}

// link is one connection.
type link struct {
	*net.TCPConn
	raw   syscall.RawConn
	read  *bufio.Reader
	addr  string
	since time.Duration // idle since, on the caller's clock
}

// reset closes at once: unsent and unconfirmed bytes are thrown away, the peer gets a reset.
func (l *link) reset() {
	_ = l.SetLinger(0)
	_ = l.Close()
}

// write hands b to the kernel straight, calling check immediately before each write(2); sent counts.
func (l *link) write(b []byte, sent *int, check func() error) error {
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

// alive tells whether an idle connection is still open with nothing to be read.
func (l *link) alive() bool {
	open := false
	err := l.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open && l.read.Buffered() == 0
}

func (k *Caller) dial(ctx context.Context, addr string) (*link, error) {
	by := addr
	if link := k.opt.Via[addr]; link != "" {
		by = link
	}
	c, err := k.dialer.DialContext(ctx, "tcp", by)
	if err != nil {
		_ = level.Debug(k.opt.Logger).Log("msg", "dial failed", "addr", addr, "err", err)
		return nil, errs.Wrap(err, errs.Unavailable, "dial")
	}
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, errs.Wrap(err, errs.Internal, "raw connection")
	}
	l := &link{TCPConn: tcp, raw: raw, read: bufio.NewReaderSize(tcp, k.opt.ReadBuffer), addr: addr}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		l.reset()
		return nil, errs.New(errs.Stopped, "the caller is closed")
	}
	k.live[l] = struct{}{}
	return l, nil
}

func (k *Caller) drop(l *link) {
	k.mu.Lock()
	delete(k.live, l)
	k.mu.Unlock()
	l.reset()
}

func (k *Caller) take(ctx context.Context, addr string) (*link, error) {
	for {
		k.mu.Lock()
		list := k.idle[addr]
		if k.closed || len(list) == 0 {
			k.mu.Unlock()
			l, err := k.dial(ctx, addr)
			if err != nil {
				return nil, errs.Pass(err, "no idle connection to %s", addr)
			}
			return l, nil
		}
		l := list[len(list)-1]
		k.idle[addr] = list[:len(list)-1]
		k.mu.Unlock()
		if k.opt.Clock.Now()-l.since < k.opt.IdleFor && l.alive() {
			return l, nil
		}
		k.drop(l)
	}
}

func (k *Caller) give(l *link, whole bool) {
	if !whole {
		k.drop(l)
		return
	}
	l.since = k.opt.Clock.Now()
	old := l
	k.mu.Lock()
	list := append(k.idle[l.addr], l)
	if k.closed {
		list = nil
	} else if len(list) > k.opt.Idle || l.since-list[0].since >= k.opt.IdleFor {
		old, list = list[0], append(list[:0], list[1:]...)
	} else {
		old = nil
	}
	k.idle[l.addr] = list
	k.mu.Unlock()
	if old != nil {
		k.drop(old)
	}
}

func (k *Caller) ended() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}

func (l *Line) take(ctx context.Context, _ string) (*link, error) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.Timeout, "wait for the line")
	}
	l.mu.Lock()
	held, closed := l.link, l.closed
	l.mu.Unlock()
	if held != nil && !closed {
		if l.k.opt.Clock.Now()-held.since < l.k.opt.IdleFor && held.alive() {
			return held, nil
		}
		l.k.drop(held)
	}
	var fresh *link
	err := errs.New(errs.Stopped, "the line is closed")
	if !closed {
		fresh, err = l.k.dial(ctx, l.addr)
	}
	if err == nil {
		l.mu.Lock()
		l.link, closed = fresh, l.closed
		l.mu.Unlock()
		if !closed {
			return fresh, nil
		}
		l.k.drop(fresh)
		err = errs.New(errs.Stopped, "the line was closed")
	}
	<-l.turn
	return nil, errs.Pass(err, "line to %s", l.addr)
}

func (l *Line) give(used *link, whole bool) {
	l.mu.Lock()
	used.since = l.k.opt.Clock.Now()
	if l.closed || !whole {
		l.link, whole = nil, false
	}
	l.mu.Unlock()
	if !whole {
		l.k.drop(used)
	}
	<-l.turn
}

func (l *Line) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.k.ended()
}
