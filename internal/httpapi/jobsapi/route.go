package jobsapi

import (
	"context"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// defaultTimeout bounds a call.
const defaultTimeout = 3 * time.Second

// Router is what the API needs of its server (*rpc.Server).
type Router interface {
	Route(pattern string, serve func(w http.ResponseWriter, r *http.Request))
}

// handler answers one call: with what is to be written as JSON, or a failure.
type handler func(ctx context.Context, r *http.Request) (any, error)

// route answers the calls of a pattern by serve, whose ctx ends after timeout; 0 takes a default.
func route(server Router, pattern string, timeout time.Duration, serve handler) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	server.Route(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		answer, err := serve(ctx, r)
		if err != nil {
			rpc.WriteError(w, publicError(ctx, err))
			return
		}
		rpc.WriteJSON(w, http.StatusOK, answer)
	})
}

// publicError is a failure as a caller from outside sees it: which node leads is none of its matters, and an internal
// failure after the end of ctx is a timeout.
func publicError(ctx context.Context, err error) error {
	switch {
	case errs.Is(err, errs.NotLeader):
		return errs.Wrap(err, errs.Unavailable, "no leader can be reached now")
	case errs.Is(err, errs.Internal) && ctx.Err() != nil:
		return errs.Wrap(err, errs.Timeout, "the call's time is over")
	}
	return errs.Pass(err, "call")
}
