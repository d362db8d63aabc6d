package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/codec"
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
	// Quota bounds the connections: a request on one that found no room is answered errs.Unavailable, with the time to come
	// back, and the connection is closed. Default: nothing bounds them.
	Quota *ConnQuota
}

// Server answers pairs and raw routes. Every request runs on a goroutine of its own, so any number of them may
// block (long polls) without holding up others. A connection takes one request at a time.
type Server struct {
	opt      ServerOptions
	mux      *http.ServeMux
	engine   *nbhttp.Engine
	requests *routine.Group
	metrics  *metrics
	listener *listener
	// accepted orders the making of a connection before its first read: nbio hands it from the accepting goroutine
	// to the event loop by epoll alone, which is no order in Go's memory model.
	accepted  atomic.Int64
	admission admission

	mu             sync.Mutex
	activeRequests int // requests from their last byte read until their answer is written
	stopping       bool
	drained        chan struct{} // closed when stopping and nothing runs
	drainedClosed  bool
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
	redirectLogs(opt.Logger)
	boundDescriptors(opt.Descriptors)
	s := &Server{
		opt: opt, mux: http.NewServeMux(), requests: routine.New(context.Background()),
		metrics: newMetrics("server", opt.Registry), drained: make(chan struct{}),
	}
	bound := int(max(2*opt.MaxBody, MaxBody)) // over it nbhttp cuts the connection without an answer
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "rpc", Network: "tcp", Addrs: []string{opt.Addr}, Listen: s.takeListener,
		MaxLoad: 100_000, MaxHTTPBodySize: bound, ReadLimit: 2 * bound,
		SupportServerOnly: true, NPoller: opt.Loops,
		Handler:        http.HandlerFunc(s.serve),
		ServerExecutor: s.execute,
		Context:        s.requests.Context(),
		Cancel:         s.requests.Cancel,
	})
	s.admission = newAdmission(opt.Quota)
	s.engine.OnOpen(func(c net.Conn) {
		s.accepted.Add(1)
		s.admission.onOpen(c)
	})
	s.engine.OnClose(func(c net.Conn, _ error) { s.admission.onClose(c) })
	s.engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		s.accepted.Load()
		c.DataHandler()(c, data)
	})
	return s
}

// Handle answers calls of p with serve. ctx ends when the server's grace is over. An error of serve is answered
// as its failure, bytes that are no JSON of C as errs.Malformed, a method other than POST with 405.
func Handle[C, A any](s *Server, p Endpoint[C, A], serve func(ctx context.Context, call C) (A, error)) {
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
			err = errs.Wrap(codec.Decode(in.buf.Bytes(), &call), errs.Malformed, "the body of %s", p.Path)
		}
		in.free()
		if err != nil {
			WriteError(w, err)
			return
		}
		answer, err := serve(r.Context(), call)
		if err != nil {
			s.logFailure(p.Path, err)
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

// logFailure logs failures of this node, with their causes, which are not sent.
func (s *Server) logFailure(path string, err error) {
	switch errs.KindOf(err) {
	case errs.Internal, errs.Disk, errs.Damaged, errs.Torn:
		_ = level.Error(s.opt.Logger).Log("msg", "call failed", "path", path, "err", err)
	}
}

// Route answers pattern (as of http.ServeMux) with h, which may answer failures by WriteError. r and w must not be
// kept after h returns. Call it before Start; a pattern used twice panics.
func (s *Server) Route(pattern string, h func(w http.ResponseWriter, r *http.Request)) {
	calls := s.metrics.calls.WithLabelValues(pattern)
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		calls.Inc()
		t := &responseRecorder{ResponseWriter: w}
		defer func() {
			if p := recover(); p != nil {
				err := errs.New(errs.Internal, "panic: %v", p)
				s.logFailure(pattern, err)
				if !t.wroteHeader {
					WriteError(t, errs.New(errs.Internal, "the handler failed"))
				}
			}
			s.metrics.in.Add(float64(max(r.ContentLength, 0)))
			s.metrics.out.Add(float64(t.bodyBytes))
			if t.errorKind != "" {
				s.metrics.failures.WithLabelValues(pattern, string(t.errorKind)).Inc()
			}
		}()
		h(t, r)
	})
}

// execute runs the handling of a request, with the writing of its answer.
func (s *Server) execute(handle func()) {
	s.mu.Lock()
	s.activeRequests++
	s.mu.Unlock()
	s.requests.Go(func(context.Context) {
		defer s.requestDone()
		handle()
	})
}

func (s *Server) requestDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests--
	s.signalDrained()
}

// signalDrained closes idle once, when the server stops and nothing runs. The mutex is held.
func (s *Server) signalDrained() {
	if s.activeRequests > 0 || !s.stopping || s.drainedClosed {
		return
	}
	s.drainedClosed = true
	close(s.drained)
}

// serve passes a request to its route, unless the server is stopping.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		WriteError(w, errs.New(errs.Stopped, "the server is stopping"))
		return
	}
	if err := s.admission.check(r.RemoteAddr); err != nil {
		w.Header().Set("Connection", "close")
		WriteError(w, err)
		return
	}
	if h, pattern := s.mux.Handler(r); pattern == "" {
		seen := &headRecorder{head: w.Header()}
		h.ServeHTTP(seen, r) // the mux's own refusal is not JSON
		if seen.status == http.StatusMethodNotAllowed {
			refuseMethod(w, r)
			return
		}
		WriteError(w, errs.New(errs.Unknown, "there is nothing at this path"))
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Start listens and answers. An address that cannot be had is errs.Settings. The socket is opened before the engine
// starts: an engine whose listener fails stops its event loops at once, and waits forever for one that does not run yet.
func (s *Server) Start() error {
	if err := s.listen(); err != nil {
		return errs.Pass(err, "listen at %s", s.opt.Addr)
	}
	if err := s.engine.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "start at %s", s.opt.Addr)
	}
	return errs.Wrap(s.waitForLoops(), errs.Internal, "start the event loops")
}

// Addr is the real host:port after Start.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// Stop closes the listener, refuses new requests as errs.Stopped, lets running handlers finish for up to grace,
// then ends their context and closes all connections. Handlers left at the end of grace are errs.Timeout.
// Call it once; without a Start it does nothing.
func (s *Server) Stop(grace time.Duration) error {
	if s.listener == nil {
		return nil
	}
	s.listener.stopAccepting()
	s.mu.Lock()
	s.stopping = true
	s.signalDrained()
	s.mu.Unlock()
	over := make(chan struct{})
	timer := s.opt.Clock.Set(grace, func() { close(over) })
	defer timer.Stop()
	var err error
	select {
	case <-s.drained:
	case <-over:
		s.mu.Lock()
		left := s.activeRequests
		s.mu.Unlock()
		if left > 0 {
			err = errs.New(errs.Timeout, "%d handlers still ran after %s", left, grace)
		}
	}
	s.engine.Stop()
	return err
}
