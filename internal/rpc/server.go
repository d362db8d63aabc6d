package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// ServerOptions are the settings of a Server; only Addr is needed.
type ServerOptions struct {
	Addr     string                // host:port to listen at; port 0 takes a free one
	Logger   log.Logger            // default: none
	MaxBody  int64                 // bound on bodies of pairs in bytes, default MaxBody
	Clock    clock.Clock           // default clock.Real
	Registry prometheus.Registerer // default: the counters are not shown
	// Descriptors bounds the file descriptors that the process has, if the system tells no lower bound: a table of
	// that length is kept for each server. The lowest one given holds for the whole process; 0 leaves it as it is.
	Descriptors int
	// Loops is the number of event loops; 0: nbio's default.
	Loops int
}

// Server answers pairs and raw routes. Every request runs on a goroutine of its own, so any number of them may
// block (long polls) without holding up others. A connection takes one request at a time.
type Server struct {
	opt    ServerOptions
	mux    *http.ServeMux
	engine *nbhttp.Engine
	work   *routine.Group
	meter  *meter
	ln     *listener
	// accepted orders the making of a connection before its first read: nbio hands it from the accepting goroutine
	// to the event loop by epoll alone, which is no order in Go's memory model.
	accepted atomic.Int64

	mu       sync.Mutex
	running  int // requests from their last byte read until their answer is written
	stopping bool
	idle     chan struct{} // closed when stopping and nothing runs
	idleTold bool
}

// NewServer makes a server that does not listen yet. Example:
//
//	s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
//	rpc.Handle(s, Vote, func(ctx context.Context, b Ballot) (Verdict, error) { return store.Vote(ctx, b) })
//	if err := s.Start(); err != nil {
//		return errs.Pass(err, "start the server")
//	}
//	defer s.Stop(5 * time.Second)
func NewServer(opt ServerOptions) *Server {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	if opt.MaxBody <= 0 {
		opt.MaxBody = MaxBody
	}
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	routeLogs(opt.Logger)
	boundDescriptors(opt.Descriptors)
	s := &Server{
		opt: opt, mux: http.NewServeMux(), work: routine.New(context.Background()),
		meter: newMeter("server", opt.Registry), idle: make(chan struct{}),
	}
	bound := int(max(2*opt.MaxBody, MaxBody)) // over it nbhttp cuts the connection without an answer
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "wire", Network: "tcp", Addrs: []string{opt.Addr}, Listen: s.listen,
		MaxLoad: 100_000, MaxHTTPBodySize: bound, ReadLimit: 2 * bound,
		SupportServerOnly: true, NPoller: opt.Loops,
		Handler:        http.HandlerFunc(s.serve),
		ServerExecutor: s.execute,
		Context:        s.work.Context(),
		Cancel:         s.work.Cancel,
	})
	s.engine.OnOpen(func(net.Conn) { s.accepted.Add(1) })
	s.engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		s.accepted.Load()
		c.DataHandler()(c, data)
	})
	return s
}

// Handle answers calls of p with serve. ctx ends when the server's grace is over. An error of serve is answered
// as its failure, bytes that are no JSON of C as errs.Malformed, a method other than POST with 405.
func Handle[C, A any](s *Server, p Pair[C, A], serve func(ctx context.Context, call C) (A, error)) {
	s.Route(p.Path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			refuseMethod(w, r)
			return
		}
		var call C
		in := takeFrame(0)
		err := readInto(&in.buf, r.Body, r.ContentLength, s.opt.MaxBody)
		if err == nil {
			err = errs.Wrap(json.Unmarshal(in.buf.Bytes(), &call), errs.Malformed, "the body of %s", p.Path)
		}
		in.free()
		if err != nil {
			WriteError(w, err)
			return
		}
		answer, err := serve(r.Context(), call)
		if err != nil {
			s.tell(p.Path, err)
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, answer)
	})
}

func refuseMethod(w http.ResponseWriter, r *http.Request) {
	f := &errs.Error{Kind: errs.Invalid, Field: "method", Message: r.Method + " is not taken here"}
	writeError(w, f, http.StatusMethodNotAllowed)
}

// tell logs failures that are ours to mend, with their causes, which are not sent.
func (s *Server) tell(path string, err error) {
	switch errs.KindOf(err) {
	case errs.Internal, errs.Disk, errs.Damaged, errs.Torn:
		_ = level.Error(s.opt.Logger).Log("msg", "call failed", "path", path, "err", err)
	}
}

// Route answers pattern (as of http.ServeMux) with h, which may answer failures by WriteError. r and w must not be
// kept after h returns. Call it before Start; a pattern given twice panics.
func (s *Server) Route(pattern string, h func(w http.ResponseWriter, r *http.Request)) {
	calls := s.meter.calls.WithLabelValues(pattern)
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		calls.Inc()
		t := &tap{ResponseWriter: w}
		defer func() {
			if p := recover(); p != nil {
				err := errs.New(errs.Internal, "panic: %v", p)
				s.tell(pattern, err)
				if !t.begun {
					WriteError(t, errs.New(errs.Internal, "the handler failed"))
				}
			}
			s.meter.in.Add(float64(max(r.ContentLength, 0)))
			s.meter.out.Add(float64(t.out))
			if t.kind != "" {
				s.meter.failures.WithLabelValues(pattern, string(t.kind)).Inc()
			}
		}()
		h(t, r)
	})
}

// tap counts what an answer carries.
type tap struct {
	http.ResponseWriter
	out   int
	kind  errs.Kind
	begun bool
}

// Unwrap lets http.ResponseController reach the connection.
func (t *tap) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader records that the answer has begun and passes the status on.
func (t *tap) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

// Write counts the bytes of the answer and passes them on.
func (t *tap) Write(b []byte) (int, error) {
	t.begun = true
	n, err := t.ResponseWriter.Write(b)
	t.out += max(n, 0)
	if err != nil {
		return n, errs.Wrap(err, errs.Unavailable, "write the answer")
	}
	return n, nil
}

// execute runs the handling of a request, with the writing of its answer.
func (s *Server) execute(handle func()) {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	s.work.Go(func(context.Context) {
		defer s.executed()
		handle()
	})
}

func (s *Server) executed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.tellIdle()
}

// tellIdle closes idle once, when the server stops and nothing runs. The mutex is held.
func (s *Server) tellIdle() {
	if s.running > 0 || !s.stopping || s.idleTold {
		return
	}
	s.idleTold = true
	close(s.idle)
}

// serve lets a request in, unless the server stops, and finds its route.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		WriteError(w, errs.New(errs.Stopped, "the server is stopping"))
		return
	}
	if h, pattern := s.mux.Handler(r); pattern == "" {
		seen := &probe{head: w.Header()}
		h.ServeHTTP(seen, r) // the mux's own refusal; ours is JSON
		if seen.status == http.StatusMethodNotAllowed {
			refuseMethod(w, r)
			return
		}
		WriteError(w, errs.New(errs.Unknown, "there is nothing at this path"))
		return
	}
	s.mux.ServeHTTP(w, r)
}

// probe takes an answer's head only.
type probe struct {
	head   http.Header
	status int
}

// Header is part of http.ResponseWriter.
func (p *probe) Header() http.Header { return p.head }

// Write discards the body.
func (p *probe) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader records the status.
func (p *probe) WriteHeader(status int) { p.status = status }

// Start listens and answers. An address that cannot be had is errs.Settings.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "listen at %s", s.opt.Addr)
	}
	return errs.Wrap(s.warm(), errs.Internal, "start the event loops")
}

// warm waits until every event loop of nbio runs: a stop that comes before is lost on the loop, and the engine's
// Stop would wait for it forever. Each loop gets one end of a local connection and has to see it close.
func (s *Server) warm() error {
	loops := s.engine.Engine.NPoller
	if loops == 1 {
		return errs.Pass(s.warmOne(), "the only event loop")
	}
	gone := make(chan struct{}, loops)
	s.engine.OnClose(func(c net.Conn, _ error) {
		if _, local := c.RemoteAddr().(*net.UnixAddr); local {
			gone <- struct{}{}
		}
	})
	for loop := range loops {
		if err := s.nudge(loop, loops); err != nil {
			return errs.Pass(err, "event loop %d", loop)
		}
	}
	for range loops {
		<-gone
	}
	return nil
}

// warmOne is warm for a single loop, which any connection reaches: one to the server's own address, as not every
// machine has local socket pairs.
func (s *Server) warmOne() error {
	gone := make(chan struct{}, 1)
	s.engine.OnClose(func(net.Conn, error) {
		select {
		case gone <- struct{}{}:
		default:
		}
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		return errs.Wrap(err, errs.Internal, "reach the own address")
	}
	if err := c.Close(); err != nil {
		return errs.Wrap(err, errs.Internal, "close")
	}
	<-gone
	return nil
}

// nudge gives one loop a connection that is closed at its other end. nbio picks the loop by the descriptor, so
// copies are made until one has a number that fits. All others are closed before that one is handed over: epoll
// goes on telling of a connection as long as a copy is open, by a number that may be another's by then.
func (s *Server) nudge(loop, loops int) error {
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "local connection")
	}
	here, there := os.NewFile(uintptr(ends[0]), "here"), os.NewFile(uintptr(ends[1]), "there")
	defer there.Close()
	spare := []io.Closer{here}
	var fits *nbio.Conn
	for err == nil && fits == nil {
		var c net.Conn
		var end *nbio.Conn
		if c, err = net.FileConn(here); err == nil {
			end, err = nbio.NBConn(c) // closes c
		}
		if err == nil && end.Hash()%loops == loop {
			fits = end
		} else if err == nil {
			spare = append(spare, end)
		}
	}
	for _, one := range spare {
		_ = one.Close()
	}
	if err == nil {
		_, err = s.engine.AddConn(fits)
	}
	return errs.Wrap(err, errs.Internal, "local connection")
}

// Addr is the real host:port after Start.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// Stop closes the listener, refuses new requests as errs.Stopped, lets running handlers finish for up to grace,
// then ends their context and closes all connections. Handlers left at the end of grace are errs.Timeout.
// Call it once; without a Start it does nothing.
func (s *Server) Stop(grace time.Duration) error {
	if s.ln == nil {
		return nil
	}
	s.ln.quiet()
	s.mu.Lock()
	s.stopping = true
	s.tellIdle()
	s.mu.Unlock()
	over := make(chan struct{})
	ring := s.opt.Clock.Set(grace, func() { close(over) })
	defer ring.Stop()
	var err error
	select {
	case <-s.idle:
	case <-over:
		s.mu.Lock()
		left := s.running
		s.mu.Unlock()
		if left > 0 {
			err = errs.New(errs.Timeout, "%d handlers still ran after %s", left, grace)
		}
	}
	s.engine.Stop()
	return err
}

func (s *Server) listen(network, addr string) (net.Listener, error) {
	ln, err := net.Listen(network, addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.Settings, "listen")
	}
	s.ln = &listener{Listener: ln, clock: s.opt.Clock, released: make(chan struct{})}
	return s.ln, nil
}

// listener keeps nbhttp from spinning: its loop calls Accept again at once after every error, until its own stop.
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
		ring := l.clock.Set(50*time.Millisecond, func() { close(again) })
		select {
		case <-l.released:
			ring.Stop()
			return nil, errs.Wrap(err, errs.Stopped, "accept")
		case <-again:
		}
	}
}

// quiet stops the taking of connections, Close also lets Accept return.
func (l *listener) quiet() { _ = l.Listener.Close() }

// Close closes the socket and ends a waiting Accept.
func (l *listener) Close() error {
	l.quiet()
	l.once.Do(func() { close(l.released) })
	return nil
}

// boundDescriptors bounds nbio's tables of connections, which it makes as long as there may be descriptors.
func boundDescriptors(n int) {
	descriptorsMu.Lock()
	defer descriptorsMu.Unlock()
	if n > 0 && n < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = n
	}
}

var descriptorsMu sync.Mutex

// routeLogs sends nbio's own lines, which have one logger per process, to the latest server's logger.
func routeLogs(to log.Logger) {
	logTo.Store(&to)
	logOnce.Do(func() { logging.SetLogger(nbioLog{}) })
}

var (
	logTo   atomic.Pointer[log.Logger]
	logOnce sync.Once
)

type nbioLog struct{}

func (nbioLog) put(at func(log.Logger) log.Logger, format string, v []any) {
	_ = at(*logTo.Load()).Log("part", "nbio", "msg", fmt.Sprintf(format, v...))
}

// Debug logs a line of nbio at the level debug.
func (n nbioLog) Debug(format string, v ...any) { n.put(level.Debug, format, v) }

// Info logs at the level debug, as nbio's lines on its start and stop are of no use to operators.
func (n nbioLog) Info(format string, v ...any) { n.put(level.Debug, format, v) } // its start and stop lines

// Warn logs a line of nbio at the level warn.
func (n nbioLog) Warn(format string, v ...any) { n.put(level.Warn, format, v) }

// Error logs a line of nbio at the level error.
func (n nbioLog) Error(format string, v ...any) { n.put(level.Error, format, v) }
