package rpc

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the counters of one side of calls, "server" or "caller". Clients and servers that share a registry add
// to the same counters.
type metrics struct {
	calls     *prometheus.CounterVec // by path
	failures  *prometheus.CounterVec // by path and kind
	in, out   prometheus.Counter     // bytes received and sent
	abandoned prometheus.Counter     // requests that were not executed because their caller no longer waited
	refused   *prometheus.CounterVec // requests and connections that exceeded a limit, by cause
}

// newMetrics returns the counters of a side, registered unless registry is nil.
func newMetrics(side string, registry prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return registerCounter(registry, name, help, labels).MustCurryWith(prometheus.Labels{"side": side})
	}
	bytes := counter("crosstide_rpc_bytes_total", "Bytes of bodies, by direction.", "dir")
	return &metrics{
		calls: counter("crosstide_rpc_calls_total", "Calls, by path.", "path"),
		failures: counter("crosstide_rpc_failures_total",
			"Calls that ended in a failure, by path and kind.", "path", "kind"),
		in:  bytes.WithLabelValues("in"),
		out: bytes.WithLabelValues("out"),
		abandoned: counter("crosstide_rpc_abandoned_total",
			"Requests that were not executed because their caller no longer waited.").WithLabelValues(),
		refused: counter("crosstide_rpc_refused_total",
			"Requests and connections that exceeded a limit, by cause.", "cause"),
	}
}

// registerCounter registers a counter and returns it, or the counter already registered under its name. If registry is
// nil, the counter is not registered.
func registerCounter(registry prometheus.Registerer, name, help string, labels []string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Name: name, Help: help}
	counter := prometheus.NewCounterVec(opts, append([]string{"side"}, labels...))
	if registry == nil {
		return counter
	}
	err := registry.Register(counter)
	if err == nil {
		return counter
	}
	var registered prometheus.AlreadyRegisteredError
	if !errors.As(err, &registered) {
		panic("rpc: register " + name + ": " + err.Error())
	}
	return registered.ExistingCollector.(*prometheus.CounterVec)
}
