package rpc

import (
	"context"
	"net/http"

	"github.com/go-kit/log/level"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// Handle registers serve as the handler of calls of e. The ctx of serve is cancelled when the grace period of Stop
// expires. An error of serve is written with WriteError; a body that is not valid JSON for C is errs.Malformed, and a
// method other than POST is answered with status 405. Like Route, Handle must be called before Start.
func Handle[C, A any](s *Server, e Endpoint[C, A], serve func(ctx context.Context, call C) (A, error)) {
	s.Route(e.Path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			writeMethodRejected(w, r)
			return
		}
		call, release, err := readCall[C](r, e.Path, s.limits().BodyBytes)
		if err != nil {
			WriteError(w, err)
			return
		}
		defer release()
		answer, err := serve(r.Context(), call)
		if err != nil {
			s.logFailure(e.Path, err)
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, answer)
	})
}

// readCall reads and decodes the body of a call. The caller must call release when it no longer uses the call.
func readCall[C any](r *http.Request, path string, limit int64) (call C, release func(), err error) {
	requestFrame := takeFrame(0)
	defer requestFrame.free()
	if err := readInto(&requestFrame.buf, r.Body, r.ContentLength, limit); err != nil {
		return call, nil, errs.Pass(err, "read the call")
	}
	body := requestFrame.buf.Bytes()
	if release, err = AcquireDecoding(r.Context(), body); err != nil {
		return call, nil, errs.Pass(err, "call")
	}
	if err := codec.Decode(body, &call); err != nil {
		release()
		return call, nil, errs.Wrap(err, errs.Malformed, "the body of %s", path)
	}
	return call, release, nil
}

// logFailure logs err if its kind is an error of this node itself, such as Disk. The line has the causes of err, which
// are not sent to the caller.
func (s *Server) logFailure(path string, err error) {
	switch errs.KindOf(err) {
	case errs.Internal, errs.Disk, errs.Damaged, errs.Torn:
		_ = level.Error(s.opt.Logger).Log("msg", "call failed", "path", path, "err", err)
	}
}

// Route registers handle for requests that match pattern, in the syntax of http.ServeMux. handle writes errors with
// WriteError and must not keep w and r after it returns. If it panics, the request is answered with errs.Internal.
// Route must be called before Start; it panics if the pattern conflicts with a registered one.
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

// serve passes a request to its route. It rejects the request if the server is stopping, the connection was not
// admitted or no route matches.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		WriteError(w, errs.New(errs.Stopped, "the server is stopping"))
		return
	}
	if err := s.admission.check(attachedConn(w)); err != nil {
		r.Close = true // nbhttp then closes the connection behind the response
		WriteError(w, err)
		return
	}
	if handler, pattern := s.mux.Handler(r); pattern == "" {
		muxResponse := &headRecorder{head: w.Header()}
		handler.ServeHTTP(muxResponse, r) // writes the mux's own error response, whose body is not JSON
		if muxResponse.status == http.StatusMethodNotAllowed {
			writeMethodRejected(w, r)
			return
		}
		WriteError(w, errs.New(errs.Unknown, "no route matches this path"))
		return
	}
	s.mux.ServeHTTP(w, s.withCaller(w, r))
}
