// Package daemon has the code that all daemons share: the command line (Program, Service), the order in which a daemon
// starts, serves and drains (Lifecycle), the logger, signal handling, and the common HTTP routes. It does not depend on
// what a daemon serves.
//
// A main function makes a Program or a Service for its settings type; its Serve builds the daemon's parts and passes
// them to Lifecycle.Run, the entry point.
package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Logger returns a logger that writes logfmt lines of level minLevel and above to w. minLevel is debug, info, warn or
// error; any other value means info. Example:
//
//	l := daemon.Part(daemon.Logger("info", os.Stderr), "store")
//	_ = level.Info(l).Log("msg", "store opened")
func Logger(minLevel string, w io.Writer) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// Part returns a logger that adds part=name to its lines, for a part of the program.
func Part(logger log.Logger, name string) log.Logger { return log.With(logger, "part", name) }

// Registry returns a new registry with the metrics of the process and of the Go runtime.
func Registry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

// Signals returns a context that ends at the first SIGTERM or SIGINT; a second one ends the process.
func Signals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
