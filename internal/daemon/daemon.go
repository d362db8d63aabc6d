// Package daemon holds what the daemons share: their logger, their signals and the routes every one of them has.
package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"crosstide/internal/wire"
)

// Logger writes logfmt lines of at least a level (debug, info, warn, error; else info) to w. Example:
//
//	l := daemon.Part(daemon.Logger("info", os.Stderr), "store")
//	_ = level.Info(l).Log("msg", "begin")
func Logger(least string, w io.Writer) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(least, level.InfoValue())))
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

// Routes adds GET /livez (200 while the process answers), GET /readyz (200, or the fault that ready gives) and
// GET /metrics.
func Routes(s *wire.Server, reg prometheus.Gatherer, ready func() error) {
	type word struct {
		OK bool `json:"ok"`
	}
	s.Route("GET /livez", func(w http.ResponseWriter, _ *http.Request) { wire.WriteJSON(w, http.StatusOK, word{true}) })
	s.Route("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			wire.WriteFault(w, err)
			return
		}
		wire.WriteJSON(w, http.StatusOK, word{true})
	})
	metrics := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	s.Route("GET /metrics", metrics.ServeHTTP)
}

// Profiles adds GET /debug/pprof/, the language's profiles. They cost when they are asked for; a daemon shows them
// only with --pprof.
func Profiles(s *wire.Server) {
	s.Route("GET /debug/pprof/", pprof.Index)
	s.Route("GET /debug/pprof/profile", pprof.Profile)
}

// Signals gives a context that ends with SIGTERM or SIGINT; a second one ends the process.
func Signals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
