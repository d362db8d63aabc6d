package store

import (
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/internalapi"
	"crosstide/internal/state/query"
)

var (
	descAccount = describe("account_units", "Units of an account: balance, reserved, spent, topped_up.",
		"account", "of")
	descRate = describe("account_units_per_second", "What the runs of an account cost now.",
		"account")
	descExhaustedIn = describe("account_dry_in_seconds",
		"Forecast until an account is dry, at the rate of now; none if nothing draws.", "account")
	descUnpaid  = describe("account_waiting_jobs", "Jobs that wait for a top-up.", "account")
	descWarning = describe("account_warning", "1 for an account that is dry or soon will be.", "account")
)

// collectAccounts sends the gauges of each account.
func collectAccounts(accounts []internalapi.AccountView, to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for _, v := range accounts {
		gauge(descAccount, float64(v.Balance), v.Name, "balance")
		gauge(descAccount, float64(v.Reserved), v.Name, "reserved")
		gauge(descAccount, float64(v.Spent), v.Name, "spent")
		gauge(descAccount, float64(v.ToppedUp), v.Name, "topped_up")
		gauge(descRate, float64(v.Rate)/1000, v.Name)
		gauge(descUnpaid, float64(v.Waiting), v.Name)
		if v.Draws {
			gauge(descExhaustedIn, v.ExhaustedIn.Seconds(), v.Name)
		}
		warning := 0.0
		if v.Warning != "" {
			warning = 1
		}
		gauge(descWarning, warning, v.Name)
	}
}

// accountWarnings is the set of accounts for which this leader has logged a warning. The goroutine runGC owns it.
type accountWarnings map[string]bool

// logNew logs a warning for each account that is exhausted or soon will be: one until the account recovers. On a node
// that does not lead it logs nothing.
func (w accountWarnings) logNew(s *Store) {
	s.mu.Lock()
	isLeader, accounts := s.leadership.term != 0, []internalapi.AccountView(nil)
	if isLeader {
		accounts = query.Accounts(s.live)
	}
	s.mu.Unlock()
	if !isLeader {
		clear(w)
		return
	}
	for _, account := range accounts {
		if account.Warning == "" {
			delete(w, account.Name)
			continue
		}
		if !w[account.Name] {
			w[account.Name] = true
			_ = level.Warn(s.logger).Log("msg", "account runs dry", "account", account.Name, "balance", account.Balance,
				"why", account.Warning)
		}
	}
}
