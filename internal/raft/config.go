package raft

import (
	"cmp"
	"time"

	"crosstide/internal/errs"
)

// Config holds the settings of a Core, which never change. ID is required; other zero fields take their defaults. The
// durations must be the same on all members: the lease of a leader relies on the election time-out of the others.
type Config struct {
	ID string // of this member
	// ElectionTimeout is the minimum time without a leader before a node campaigns. A random time of up to the same
	// length is added to it. Default: 1s.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration // default: ElectionTimeout/10
	// LeaseDuration must be shorter than ElectionTimeout by more than two clocks can drift apart in that time.
	// Default: 7/10 of ElectionTimeout.
	LeaseDuration      time.Duration
	MaxAppendBytes     int    // limit on the entries in one append; a larger single entry is still sent; default 1 MiB
	MaxInflightAppends int    // limit on unanswered appends to one member; default 64
	Seed               uint64 // seed of the random part of the election time-out
}

// defaultMaxInflight is the default of Config.MaxInflightAppends.
const defaultMaxInflight = 64

// withDefaults returns cfg with zero fields set to their defaults. Failure: Settings if cfg is invalid.
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
			"need an ID, 0 < HeartbeatInterval < ElectionTimeout, 0 <= LeaseDuration < ElectionTimeout, limits > 0; "+
				"got ID %q, HeartbeatInterval %s, ElectionTimeout %s, LeaseDuration %s, limits %d and %d", cfg.ID,
			cfg.HeartbeatInterval, cfg.ElectionTimeout, cfg.LeaseDuration, cfg.MaxAppendBytes, cfg.MaxInflightAppends)
	}
	return cfg, nil
}
