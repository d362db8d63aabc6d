package jobsworker

import (
	"net/netip"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// Settings configures one worker process; Name, Address, Service, Zone and ControlAddrs are required.
type Settings struct {
	Name              string // of the machine; each incarnation adds a random suffix for its worker ID
	Address           string // IP:PORT to listen at; port 0 selects a free one
	Service           string
	Zone              string
	Rack              string
	Labels            []string
	Capacity          jobs.Resources
	ControlAddrs      []string      // control addresses of control planes
	HeartbeatInterval time.Duration // default 1s
	Grace             time.Duration // in a drain, for runs to end, then again for ends to be acknowledged; default 5s
	Journal           string        // file; empty: none
}

// Check validates the settings. Failure: Settings, with the field.
func (s Settings) Check() error {
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return errs.Field(errs.Settings, "address", "must be IP:PORT, got %q", s.Address)
	}
	for field, value := range map[string]string{"name": s.Name, "service": s.Service, "zone": s.Zone} {
		if value == "" {
			return errs.Field(errs.Settings, field, "must not be empty")
		}
	}
	if len(s.ControlAddrs) == 0 {
		return errs.Field(errs.Settings, "core", "at least one address is required")
	}
	return nil
}

// setDefaults replaces zero values with the defaults.
func (s *Settings) setDefaults() {
	if s.HeartbeatInterval <= 0 {
		s.HeartbeatInterval = time.Second
	}
	if s.Grace <= 0 {
		s.Grace = 5 * time.Second
	}
}
