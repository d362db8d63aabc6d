package main

import (
	"net"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/controller/scheduler"
	"crosstide/platform"
)

// Timings of the store on the platform, for a fail-over well under three seconds.
const (
	platformElection  = 350 * time.Millisecond
	platformHeartbeat = 70 * time.Millisecond
	platformLease     = 235 * time.Millisecond

	// platformSnapshotEvery is the number of log entries between two snapshots: a restart replays about twice as many
	// at most.
	platformSnapshotEvery = 1000

	exitMargin = 500 * time.Millisecond // the part of the platform's grace that is left for the process to exit
)

// storeSettings maps the platform's settings of a control-plane node to the store's. The bootstrap members are the
// seeds.
func storeSettings(core platform.CoreSettings) config.ControlPlane {
	settings := config.DefaultControlPlane()
	settings.Name, settings.Zone, settings.Region = core.Name, core.Zone, core.Region
	settings.Addr, settings.Seeds, settings.Data = core.InternalAddress, core.Seeds, core.DataFolder
	settings.Election, settings.Heartbeat, settings.Lease = platformElection, platformHeartbeat, platformLease
	settings.SnapshotEvery = platformSnapshotEvery
	settings.OpenMembership, settings.Bootstrap = true, core.Bootstrap
	if core.Grace > 0 {
		settings.Grace = max(core.Grace-exitMargin, core.Grace/2)
	}
	for _, seed := range core.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // the settings were checked when they were read
		}
		// Without a zone: those of the seeds are not in the settings.
		settings.Members = append(settings.Members, config.Member{ID: host, Addr: seed})
	}
	return settings
}

// minLease is the shortest lease, unless the longest one is shorter. After a loss of power at all control-plane nodes
// no lease is renewed for a second and a half, and a worker's last renewal may be as old as a lease renewal call
// takes: with shorter leases all runs would end then.
const minLease = 3 * time.Second

// workerLease returns the lease of workers. It outlasts a loss of contact of contactTimeout, after which operators
// count a machine as unreachable, plus the lease renewal that may have been in flight when contact was lost and the
// backoff before the next one: runs of a worker that is back within that time continue. A longer lease would only delay
// the retry of tasks whose worker is gone for good.
func workerLease(contactTimeout, longest time.Duration, config scheduler.Config) time.Duration {
	return min(max(contactTimeout+config.RenewalWait+config.RetryMax, minLease), longest)
}

// schedulerSettings maps the platform's bounds to the scheduler's settings.
func schedulerSettings(bounds platform.SchedulerSettings, contactTimeout time.Duration) scheduler.Config {
	config := scheduler.Defaults()
	if bounds.MaxLease > 0 {
		config.Lease = workerLease(contactTimeout, bounds.MaxLease, config)
	}
	config.RenewalWait = min(config.RenewalWait, config.Lease/3)
	if bounds.StopTimeout > 0 {
		config.ExpiryMargin = bounds.StopTimeout/2 + 200*time.Millisecond
	}
	if bounds.SpreadFactor > 0 {
		config.RemoteDataFactor = bounds.SpreadFactor
	}
	if bounds.HeartbeatInterval > 0 {
		config.SilenceTimeout = bounds.HeartbeatInterval*5/2 + 250*time.Millisecond
	}
	return config
}
