package rpc

import (
	"context"
	"net/http"

	"github.com/go-kit/log/level"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// Handle makes the server answer calls of e by serve, whose ctx ends when the grace of Stop is over. An error of serve
// is answered by WriteError; a body that is no JSON of C is errs.Malformed, a method other than POST is answered with
// 405. Like Route, it is called before Start.
func Handle[C, A any](s *Server, e Endpoint[C, A], serve func(ctx context.Context, call C) (A, error)) {
	s.Route(e.Path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			writeMethodRejected(w, r)
			return
		}
		var call C
		in := takeFrame(0)
		err := readInto(&in.buf, r.Body, r.ContentLength, s.opt.MaxBody)
		if err == nil {
			err = errs.Wrap(codec.Decode(in.buf.Bytes(), &call), errs.Malformed, "the body of %s", e.Path)
		}
		in.free()
		if err != nil {
			WriteError(w, err)
			return
		}
		answer, err := serve(r.Context(), call)
		if err != nil {
			s.logFailure(e.Path, err)
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, answer)
	})
}

// logFailure logs an error that is this node's own, with its causes, which are not sent to the caller.
func (s *Server) logFailure(path string, err error) {
	switch errs.KindOf(err) {
	case errs.Internal, errs.Disk, errs.Damaged, errs.Torn:
		_ = level.Error(s.opt.Logger).Log("msg", "call failed", "path", path, "err", err)
	}
}

// Route makes the server answer requests that match pattern, as of http.ServeMux, by handle, which answers errors by
// WriteError and must not keep w and r after it has returned. If it panics, the request is answered as errs.Internal.
// Route is called before Start; it panics if the pattern is taken.
func (s *Server) Route(pattern string, handle func(w http.ResponseWriter, r *http.Request)) {
	calls := s.metrics.calls.WithLabelValues(pattern)
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		calls.Inc()
		recorder := &responseRecorder{ResponseWriter: w}
		defer func() {
			if panicked := recover(); panicked != nil {
				err := errs.New(errs.Internal, "panic: %v", panicked)
				s.logFailure(pattern, err)
				if !recorder.wroteHeader {
					WriteError(recorder, errs.New(errs.Internal, "the handler failed"))
				}
			}
			s.metrics.in.Add(float64(max(r.ContentLength, 0)))
			s.metrics.out.Add(float64(recorder.bodyBytes))
			if recorder.errorKind != "" {
				s.metrics.failures.WithLabelValues(pattern, string(recorder.errorKind)).Inc()
			}
		}()
		handle(recorder, r)
	})
}

// serve passes a request to its route. It rejects it if the server is stopping, the connection was not admitted or
// there is no route.
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
	if handler, pattern := s.mux.Handler(r); pattern == "" {
		muxAnswer := &headRecorder{head: w.Header()}
		handler.ServeHTTP(muxAnswer, r) // the answer of the mux itself, whose body is not JSON
		if muxAnswer.status == http.StatusMethodNotAllowed {
			writeMethodRejected(w, r)
			return
		}
		WriteError(w, errs.New(errs.Unknown, "there is nothing at this path"))
		return
	}
	s.mux.ServeHTTP(w, r)
}
