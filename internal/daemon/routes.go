package daemon

import (
	"bytes"
	"net/http"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// Lengths of a CPU profile, in seconds.
const (
	defaultProfileSeconds = 5
	maxProfileSeconds     = 60
)

// probeAnswer is the body of a successful probe. A failed probe answers with an error of package errs.
type probeAnswer struct {
	OK bool `json:"ok"`
}

// Routes adds GET /livez (200 as long as the process answers), GET /readyz (200, or the error that ready returns) and
// GET /metrics.
func Routes(srv *rpc.Server, registry prometheus.Gatherer, ready func() error) {
	srv.Route("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		rpc.WriteJSON(w, http.StatusOK, probeAnswer{true})
	})
	srv.Route("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			rpc.WriteError(w, err)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, probeAnswer{true})
	})
	srv.Route("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP)
}

// Profiles adds GET /debug/pprof/cpu?seconds=N (1 to 60, default 5) and GET /debug/pprof/NAME for heap, goroutine and
// the other profiles of the runtime. Profiling slows the process down, so a daemon serves profiles only with --pprof.
func Profiles(srv *rpc.Server) {
	srv.Route("GET /debug/pprof/cpu", serveCPUProfile)
	srv.Route("GET /debug/pprof/{name}", serveProfile)
}

func serveCPUProfile(w http.ResponseWriter, r *http.Request) {
	seconds, err := strconv.Atoi(r.URL.Query().Get("seconds"))
	if err != nil || seconds < 1 || seconds > maxProfileSeconds {
		seconds = defaultProfileSeconds
	}
	var body bytes.Buffer
	if err := pprof.StartCPUProfile(&body); err != nil {
		rpc.WriteError(w, errs.Wrap(err, errs.Conflict, "a CPU profile is already running"))
		return
	}
	clock.Sleep(nil, clock.Real{}, time.Duration(seconds)*time.Second) // not shortened if the client disconnects
	pprof.StopCPUProfile()
	_, _ = w.Write(body.Bytes()) // fails only if the client is gone
}

func serveProfile(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	profile := pprof.Lookup(name)
	if profile == nil {
		rpc.WriteError(w, errs.Field(errs.Unknown, "name", "unknown profile %q", name))
		return
	}
	var body bytes.Buffer
	if err := profile.WriteTo(&body, 0); err != nil {
		rpc.WriteError(w, errs.Wrap(err, errs.Internal, "profile"))
		return
	}
	_, _ = w.Write(body.Bytes()) // fails only if the client is gone
}
