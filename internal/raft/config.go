package raft

import (
	"cmp"
	"time"

	"crosstide/internal/errs"
)

// Config is fixed for the life of a Core; ID is required, other zero fields take their defaults. The times must be the
// same on all members: the lease of one counts on the election time-out of the others.
type Config struct {
	ID string // of this member
	// ElectionTimeout is the least time without a leader before a node campaigns; the random part adds up to as much
	// again. Default: 1s.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration // default: ElectionTimeout/10
	// LeaseDuration is shorter than ElectionTimeout by more than two clocks can drift apart in that time. Default:
	// 7/10 of it.
	LeaseDuration      time.Duration
	MaxAppendBytes     int    // bytes of entries in one append, which has one entry at least; default 1 MiB
	MaxInflightAppends int    // appends to one member that await their reply; default 64
	Seed               uint64 // of the random part of the election time-out
}

// defaultMaxInflight is the default of Config.MaxInflightAppends.
const defaultMaxInflight = 64

// withDefaults returns cfg with its defaults filled in; errs.Settings if it is invalid.
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
