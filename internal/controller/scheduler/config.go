package scheduler

import "time"

// Config holds the timeouts, limits and factors of a Core. Defaults returns values that work together.
type Config struct {
	// Lease is how long the runs on a worker stay alive without a renewal.
	Lease time.Duration
	// RenewalWait is how long a worker may hold a renewal open until a run ends (long poll).
	RenewalWait time.Duration
	// RenewalMargin is how long after the end of its LeaseRenewal.Wait a renewal without an answer counts as failed.
	RenewalMargin time.Duration
	// SilenceTimeout is how long after its last answer or heartbeat a worker counts as silent. Silent workers are sent
	// no starts.
	SilenceTimeout time.Duration
	// OrderTimeout is the time after which a start or stop without an answer counts as unconfirmed.
	OrderTimeout time.Duration
	// RetryMin is the first back-off after a failed call; each further failure doubles it, up to RetryMax. A stop order
	// is sent again after RetryMin each time.
	RetryMin, RetryMax time.Duration
	// ExpiryMargin is how long after the end of a lease its worker has certainly killed its runs.
	ExpiryMargin time.Duration
	// ClockSlack bounds clock drift: a worker's clock runs at least 1-ClockSlack times as fast as the leader's.
	ClockSlack float64
	// EarlyStart is how long before its due time a round may start.
	EarlyStart time.Duration
	// RemoteDataFactor multiplies the expected duration of a task that runs away from its data.
	RemoteDataFactor float64
	// ReserveAfter is how long a unit waits before free capacity is reserved for it.
	ReserveAfter time.Duration
	// MaxBlocked is how long a job may have nothing running only because capacity is set aside for other units. The
	// users' limit is 3 s until a task runs, with a commit that may have to be repeated.
	MaxBlocked time.Duration
	// ForgetAfter is how long a worker without runs may be silent before it is deleted from the table.
	ForgetAfter time.Duration

	// MaxStarts limits the starts of one commit.
	MaxStarts int
	// MaxOrdersPerWorker limits the start and stop orders in flight to one worker. Each needs a connection; a worker
	// accepts few, and those of a leader that lost power stay open there.
	MaxOrdersPerWorker int
	// MaxOrdersInFlight limits the start and stop orders in flight to all workers. No starts are planned beyond it: a
	// task whose order can't be sent at once stays in the queue, where another worker may still be selected for it.
	MaxOrdersInFlight int
	// MaxPreemptions limits the runs that one pass stops for more urgent work.
	MaxPreemptions int
	// MaxProbes limits the workers that were probed within the last probeWindow and have not answered.
	MaxProbes int
}

// Defaults returns the default Config.
func Defaults() Config {
	return Config{
		Lease:              5 * time.Second,
		RenewalWait:        time.Second,
		RenewalMargin:      400 * time.Millisecond,
		SilenceTimeout:     4 * time.Second,
		OrderTimeout:       300 * time.Millisecond,
		RetryMin:           200 * time.Millisecond,
		RetryMax:           500 * time.Millisecond,
		ExpiryMargin:       600 * time.Millisecond,
		ClockSlack:         0.02,
		EarlyStart:         0,
		RemoteDataFactor:   1.5,
		ReserveAfter:       500 * time.Millisecond,
		MaxBlocked:         1800 * time.Millisecond,
		ForgetAfter:        15 * time.Second,
		MaxStarts:          512,
		MaxOrdersPerWorker: 4,
		MaxOrdersInFlight:  512,
		MaxPreemptions:     32,
		MaxProbes:          32,
	}
}
