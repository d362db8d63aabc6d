package jobsapi

import (
	"context"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// defaultTimeout bounds a call for which no timeout is set.
const defaultTimeout = 3 * time.Second

// Router is the part of *rpc.Server that the API uses. Route registers serve for the requests that match pattern, in
// the syntax of http.ServeMux. serve may be called concurrently. Route must be called before the server starts.
type Router interface {
	Route(pattern string, serve func(w http.ResponseWriter, r *http.Request))
}

// handler handles one call. It returns the value to write as JSON, or an error.
type handler func(ctx context.Context, r *http.Request) (any, error)

// route registers serve for the calls of a pattern. The ctx of serve ends timeout after the request arrived;
// 0 means defaultTimeout.
func route(server Router, pattern string, timeout time.Duration, serve handler) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	server.Route(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := rpc.WithRequestTimeout(r.Context(), timeout)
		defer cancel()
		answer, err := serve(ctx, r)
		if err != nil {
			rpc.WriteError(w, publicError(ctx, err))
			return
		}
		rpc.WriteJSON(w, http.StatusOK, answer)
	})
}

// publicError maps err to the error that an external caller gets: it does not reveal which node is the leader, and an
// internal error after the end of ctx becomes a timeout.
func publicError(ctx context.Context, err error) error {
	switch {
	case errs.Is(err, errs.NotLeader):
		return errs.Wrap(err, errs.Unavailable, "no leader is reachable")
	case errs.Is(err, errs.Internal) && ctx.Err() != nil:
		return errs.Wrap(err, errs.Timeout, "the call timed out")
	}
	return errs.Pass(err, "call")
}
