package jobsworker

import (
	"net/netip"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// Settings are those of one worker process; Name, Address, Service, Zone and ControlAddrs are required.
type Settings struct {
	Name              string // of the machine; the worker's ID is drawn anew with each incarnation
	Address           string // IP:PORT to listen at; port 0 takes a free one
	Service           string
	Zone              string
	Rack              string
	Labels            []string
	Capacity          jobs.Resources
	ControlAddrs      []string      // control addresses of core nodes
	HeartbeatInterval time.Duration // default 1s
	Grace             time.Duration // for runs to end in a drain, then for ends to be acknowledged; default 5s
	Journal           string        // file; empty: none
}

// Check validates settings. Failure: Settings with the field.
func (s Settings) Check() error {
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return errs.Field(errs.Settings, "address", "must be IP:PORT, is %q", s.Address)
	}
	for field, value := range map[string]string{"name": s.Name, "service": s.Service, "zone": s.Zone} {
		if value == "" {
			return errs.Field(errs.Settings, field, "must not be empty")
		}
	}
	if len(s.ControlAddrs) == 0 {
		return errs.Field(errs.Settings, "core", "must be given")
	}
	return nil
}

// setDefaults replaces zero values by the defaults.
func (s *Settings) setDefaults() {
	if s.HeartbeatInterval <= 0 {
		s.HeartbeatInterval = time.Second
	}
	if s.Grace <= 0 {
		s.Grace = 5 * time.Second
	}
}
