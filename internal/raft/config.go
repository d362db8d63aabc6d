package raft

import (
	"cmp"
	"time"

	"crosstide/internal/errs"
)

// Config is fixed for the life of a Core. Zero fields take the defaults.
type Config struct {
	ID                 string
	ElectionTimeout    time.Duration // least silence before a campaign, twice that at most; default 1s
	HeartbeatInterval  time.Duration // default ElectionTimeout/10
	LeaseDuration      time.Duration // under ElectionTimeout by more than clocks drift apart; default 7/10 of it
	MaxAppendBytes     int           // of one append; default 1 MiB; one entry always fits
	MaxInflightAppends int           // unanswered appends to one follower; default 64
	Seed               uint64        // of the random part of the election time-out
}

// defaultMaxInflight is the default of Config.MaxInflightAppends.
const defaultMaxInflight = 64

// withDefaults fills in the defaults and validates the settings. Failure: Settings.
func (cfg Config) withDefaults() (Config, error) {
	cfg.ElectionTimeout = cmp.Or(cfg.ElectionTimeout, time.Second)
	cfg.HeartbeatInterval = cmp.Or(cfg.HeartbeatInterval, cfg.ElectionTimeout/10)
	cfg.LeaseDuration = cmp.Or(cfg.LeaseDuration, cfg.ElectionTimeout*7/10)
	cfg.MaxAppendBytes = cmp.Or(cfg.MaxAppendBytes, 1<<20)
	cfg.MaxInflightAppends = cmp.Or(cfg.MaxInflightAppends, defaultMaxInflight)
	if cfg.ID == "" || cfg.HeartbeatInterval <= 0 || cfg.HeartbeatInterval >= cfg.ElectionTimeout ||
		cfg.LeaseDuration < 0 || cfg.LeaseDuration >= cfg.ElectionTimeout ||
		cfg.MaxAppendBytes < 0 || cfg.MaxInflightAppends < 0 {
		return cfg, errs.New(errs.Settings,
			"quorum needs an ID, 0 < Heartbeat < Election, 0 <= Lease < Election, limits above 0")
	}
	return cfg, nil
}
