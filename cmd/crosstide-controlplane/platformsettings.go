package main

import (
	"net"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/controller/scheduler"
	"crosstide/platform"
)

// Timings of the store on the platform. They make a fail-over take well under three seconds.
const (
	platformElection  = 350 * time.Millisecond
	platformHeartbeat = 70 * time.Millisecond
	platformLease     = 235 * time.Millisecond

	// platformSnapshotEvery is the number of log entries between two snapshots. A restart replays at most about twice
	// as many.
	platformSnapshotEvery = 1000

	exitMargin = 500 * time.Millisecond // part of the platform's grace that is reserved for the exit of the process
)

// storeSettings maps the platform's settings of a control-plane node to the store's settings. The seeds become the
// bootstrap members.
func storeSettings(node platform.NodeSettings) config.ControlPlane {
	settings := config.DefaultControlPlane()
	settings.Name, settings.Zone, settings.Region = node.Name, node.Zone, node.Region
	settings.Addr, settings.Seeds, settings.Data = node.InternalAddress, node.Seeds, node.DataFolder
	settings.ElectionTimeout, settings.Heartbeat, settings.Lease = platformElection, platformHeartbeat, platformLease
	settings.SnapshotEvery = platformSnapshotEvery
	settings.OpenMembership, settings.Bootstrap = true, node.Bootstrap
	if node.StopGracePeriod > 0 {
		settings.Grace = max(node.StopGracePeriod-exitMargin, node.StopGracePeriod/2)
	}
	for _, seed := range node.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // the settings were validated when they were read
		}
		// No zone: the settings do not contain the zones of the seeds.
		settings.Members = append(settings.Members, config.Member{ID: host, Addr: seed})
	}
	return settings
}

// minLease is the minimum lease, unless the platform's maximum is even shorter. After a power loss of all control-plane
// nodes, no lease is renewed for a second and a half, and the last renewal of a worker may already be as old as a
// renewal call takes. With a shorter lease all runs would end.
const minLease = 3 * time.Second

// workerLease returns the lease duration of workers, from minLease to maxLease. It is the sum of contactTimeout (after
// which operators count a machine as unreachable), the renewal that may have been in flight when contact was lost, and
// the backoff before the next renewal: the runs of a worker that is back within that time continue. A longer lease
// would only delay the retry of tasks whose worker is gone for good.
func workerLease(contactTimeout, maxLease time.Duration, config scheduler.Config) time.Duration {
	return min(max(contactTimeout+config.RenewalWait+config.RetryMax, minLease), maxLease)
}

// schedulerSettings maps the platform's settings to the scheduler's settings.
func schedulerSettings(settings platform.SchedulerSettings, contactTimeout time.Duration) scheduler.Config {
	config := scheduler.Defaults()
	if settings.MaxLease > 0 {
		config.Lease = workerLease(contactTimeout, settings.MaxLease, config)
	}
	config.RenewalWait = min(config.RenewalWait, config.Lease/3)
	if settings.StopTimeout > 0 {
		config.ExpiryMargin = settings.StopTimeout/2 + 200*time.Millisecond
	}
	if settings.SpreadFactor > 0 {
		config.RemoteDataFactor = settings.SpreadFactor
	}
	if settings.HeartbeatInterval > 0 {
		config.SilenceTimeout = settings.HeartbeatInterval*5/2 + 250*time.Millisecond
	}
	return config
}
