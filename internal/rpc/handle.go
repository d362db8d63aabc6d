package rpc

import (
	"context"
	"net/http"

	"github.com/go-kit/log/level"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// Handle answers calls of e with serve. ctx ends when the grace of Stop is over. An error of serve is answered as its
// failure, bytes that are no JSON of C as errs.Malformed, a method other than POST with 405.
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

// logFailure logs failures of this node, with their causes, which are not sent.
func (s *Server) logFailure(path string, err error) {
	switch errs.KindOf(err) {
	case errs.Internal, errs.Disk, errs.Damaged, errs.Torn:
		_ = level.Error(s.opt.Logger).Log("msg", "call failed", "path", path, "err", err)
	}
}

// Route answers pattern (as of http.ServeMux) with handle, which may answer failures by WriteError. r and w must not be
// kept after handle returns. Call it before Start; a pattern used twice panics.
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

// serve passes a request to its route, unless the server is stopping or the connection was not admitted.
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
		muxAnswer := &headRecorder{head: w.Header()}
		h.ServeHTTP(muxAnswer, r) // the mux's own answer is not JSON
		if muxAnswer.status == http.StatusMethodNotAllowed {
			writeMethodRejected(w, r)
			return
		}
		WriteError(w, errs.New(errs.Unknown, "there is nothing at this path"))
		return
	}
	s.mux.ServeHTTP(w, r)
}
