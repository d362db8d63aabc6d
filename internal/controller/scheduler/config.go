package scheduler

import (
	"time"
)

// Config holds the durations and factors that the scheduler goes by.
type Config struct {
	Lease            time.Duration // lease of everything on a worker, renewed by every hold call
	RenewalWait      time.Duration // how long a worker may keep a hold call waiting
	SilenceTimeout   time.Duration // no starts on a worker unheard for this long
	OrderTimeout     time.Duration // a start or stop without an answer is in doubt after it
	RenewalMargin    time.Duration // a hold call without an answer has failed so long after its wait
	RetryMin         time.Duration // pause after the first call that failed; it doubles
	RetryMax         time.Duration // longest pause between calls to a worker that does not answer
	ExpiryMargin     time.Duration // from the end of a lease to the certainty that everything is killed
	ClockSlack       float64       // a worker's clock runs at least 1-ClockSlack times as fast as ours
	EarlyStart       time.Duration // how much ahead of its time a round may start
	RemoteDataFactor float64       // how many times as long a task takes far from its data
	ReserveAfter     time.Duration // a gang that has waited so long keeps room free for itself
	ForgetAfter      time.Duration // a worker without runs that was unheard for this long is forgotten
	MaxStarts        int           // most starts in one commit
	// MaxOrdersPerWorker is the most start and stop orders under way to a worker at once. Each needs a connection, a worker takes
	// so many at most, and those of a leader that lost its power stay open there.
	MaxOrdersPerWorker int
	// MaxOrdersInFlight bounds the start and stop orders under way to all workers. No starts are planned beyond it: what cannot
	// leave at once waits better where it may still be placed elsewhere.
	MaxOrdersInFlight int
	MaxPreemptions    int // most runs that one pass stops for more urgent work
	MaxProbes         int // most workers that are asked at once and have not answered
}

// Defaults are the starting values.
func Defaults() Config {
	return Config{
		Lease: 5 * time.Second, RenewalWait: time.Second,
		SilenceTimeout: 4 * time.Second, OrderTimeout: 300 * time.Millisecond, RenewalMargin: 400 * time.Millisecond,
		RetryMin: 200 * time.Millisecond, RetryMax: 500 * time.Millisecond, ExpiryMargin: 600 * time.Millisecond,
		ClockSlack: 0.02, EarlyStart: 0, RemoteDataFactor: 1.5, ReserveAfter: 500 * time.Millisecond,
		ForgetAfter: 15 * time.Second, MaxStarts: 512, MaxOrdersPerWorker: 4, MaxOrdersInFlight: 512, MaxPreemptions: 32, MaxProbes: 32,
	}
}
