// Package daemon holds what the daemons share: their logger, their signals and the routes every one of them has.
package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/pprof"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// Logger writes logfmt lines of at least a level (debug, info, warn, error; else info) to w. Example:
//
//	l := daemon.Part(daemon.Logger("info", os.Stderr), "store")
//	_ = level.Info(l).Log("msg", "begin")
func Logger(minLevel string, w io.Writer) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

// Part names the part of the program that a logger is for.
func Part(l log.Logger, name string) log.Logger { return log.With(l, "part", name) }

// Registry is an empty registry with the figures of the process and of the language's runtime.
func Registry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

// Routes adds GET /livez (200 while the process answers), GET /readyz (200, or the failure that ready returns) and
// GET /metrics.
func Routes(s *rpc.Server, reg prometheus.Gatherer, ready func() error) {
	type word struct {
		OK bool `json:"ok"`
	}
	s.Route("GET /livez", func(w http.ResponseWriter, _ *http.Request) { rpc.WriteJSON(w, http.StatusOK, word{true}) })
	s.Route("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			rpc.WriteError(w, err)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, word{true})
	})
	metrics := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	s.Route("GET /metrics", metrics.ServeHTTP)
}

// Profiles adds GET /debug/pprof/cpu?seconds=N (1 to 60, default 5) and GET /debug/pprof/NAME for heap, goroutine
// and the other profiles of the runtime. They cost when they are asked for; a daemon shows them only with --pprof.
func Profiles(s *rpc.Server) {
	s.Route("GET /debug/pprof/cpu", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.URL.Query().Get("seconds"))
		if err != nil || n < 1 || n > 60 {
			n = 5
		}
		var out bytes.Buffer
		if err := pprof.StartCPUProfile(&out); err != nil {
			rpc.WriteError(w, errs.Wrap(err, errs.Conflict, "a profile is being taken"))
			return
		}
		over := make(chan struct{})
		clock.Real{}.Set(time.Duration(n)*time.Second, func() { close(over) })
		<-over
		pprof.StopCPUProfile()
		_, _ = w.Write(out.Bytes()) // a caller that is gone hears nothing
	})
	s.Route("GET /debug/pprof/{name}", func(w http.ResponseWriter, r *http.Request) {
		p := pprof.Lookup(r.PathValue("name"))
		if p == nil {
			rpc.WriteError(w, errs.Field(errs.Unknown, "name", "no profile %q", r.PathValue("name")))
			return
		}
		var out bytes.Buffer
		if err := p.WriteTo(&out, 0); err != nil {
			rpc.WriteError(w, errs.Wrap(err, errs.Internal, "profile"))
			return
		}
		_, _ = w.Write(out.Bytes()) // a caller that is gone hears nothing
	})
}

// Signals returns a context that ends with SIGTERM or SIGINT; a second one ends the process.
func Signals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
