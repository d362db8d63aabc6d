// Package daemon holds what the daemons share: the command line (Program, Service), the order in which a daemon
// starts, serves and drains (Lifecycle), the logger, the signals, and the routes that every one of them has. It knows
// nothing of what a daemon serves.
//
// A main function makes a Program or a Service of its settings type; its Serve builds the daemon's parts and passes
// them to Lifecycle.Run. Begin to read there.
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

// Logger returns a logger that writes logfmt lines of at least a level to w: debug, info, warn or error, and info for
// any other name. Example:
//
//	l := daemon.Part(daemon.Logger("info", os.Stderr), "store")
//	_ = level.Info(l).Log("msg", "begin")
func Logger(minLevel string, w io.Writer) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// Part returns a logger whose lines name the part of the program.
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
