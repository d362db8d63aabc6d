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

// Router is what the API needs of its server (*rpc.Server). Route answers the calls that match a pattern of net/http's
// ServeMux by serve, concurrently; it is called before the server starts.
type Router interface {
	Route(pattern string, serve func(w http.ResponseWriter, r *http.Request))
}

// handler answers one call with a value that is written as JSON, or an error.
type handler func(ctx context.Context, r *http.Request) (any, error)

// route answers the calls of a pattern by serve, whose ctx ends after timeout; 0: defaultTimeout.
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

// publicError returns the error that a caller from outside gets: it does not learn which node leads, and an internal
// error after the end of ctx is a timeout.
func publicError(ctx context.Context, err error) error {
	switch {
	case errs.Is(err, errs.NotLeader):
		return errs.Wrap(err, errs.Unavailable, "no leader can be reached now")
	case errs.Is(err, errs.Internal) && ctx.Err() != nil:
		return errs.Wrap(err, errs.Timeout, "the call's time is over")
	}
	return errs.Pass(err, "call")
}
