package rpc

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts for one side, "server" or "caller". Several meters may share a registry.
type metrics struct {
	calls, failures *prometheus.CounterVec
	in, out         prometheus.Counter
}

func newMetrics(side string, to prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, append([]string{"side"}, labels...))
		if to != nil {
			if err := to.Register(c); err != nil {
				var have prometheus.AlreadyRegisteredError
				if !errors.As(err, &have) {
					panic("rpc: register " + name + ": " + err.Error())
				}
				c = have.ExistingCollector.(*prometheus.CounterVec)
			}
		}
		return c.MustCurryWith(prometheus.Labels{"side": side})
	}
	size := counter("crosstide_rpc_bytes_total", "Bytes of bodies, by direction.", "dir")
	return &metrics{
		calls:    counter("crosstide_rpc_calls_total", "Calls, by path.", "path"),
		failures: counter("crosstide_rpc_failures_total", "Calls that ended in a failure, by path and kind.", "path", "kind"),
		in:       size.WithLabelValues("in"),
		out:      size.WithLabelValues("out"),
	}
}
