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
	descRate = describe("account_units_per_second", "Cost of the runs of an account, in units per second.",
		"account")
	descExhaustedIn = describe("account_dry_in_seconds",
		"Forecast until an account is exhausted, at its current rate; absent if no run draws on it.", "account")
	descAwaitingTopUp = describe("account_waiting_jobs", "Jobs of an account that wait for a top-up.", "account")
	descWarning       = describe("account_warning", "1 if an account is exhausted or soon will be, else 0.", "account")
)

// collectAccounts sends the gauges of each account.
func collectAccounts(accounts []internalapi.AccountView, ch chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, account := range accounts {
		gauge(descAccount, float64(account.Balance), account.Name, "balance")
		gauge(descAccount, float64(account.Reserved), account.Name, "reserved")
		gauge(descAccount, float64(account.Spent), account.Name, "spent")
		gauge(descAccount, float64(account.ToppedUp), account.Name, "topped_up")
		gauge(descRate, float64(account.Rate)/1000, account.Name)
		gauge(descAwaitingTopUp, float64(account.Waiting), account.Name)
		if account.IsDrawing {
			gauge(descExhaustedIn, account.ExhaustedIn.Seconds(), account.Name)
		}
		warning := 0.0
		if account.Warning != "" {
			warning = 1
		}
		gauge(descWarning, warning, account.Name)
	}
}

// accountWarnings is the set of accounts for which this leader has logged a warning. The goroutine runGC owns it.
type accountWarnings map[string]bool

// logNew logs a warning for each account that is exhausted or soon will be, and none again for the same account until
// it has recovered. On a node that does not lead it logs nothing and forgets earlier warnings.
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
			_ = level.Warn(s.logger).Log("msg", "account exhausted or running low", "account", account.Name,
				"balance", account.Balance, "why", account.Warning)
		}
	}
}
