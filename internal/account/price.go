package account

import (
	"math/bits"
	"time"
)

// MaxAmount bounds the sum of an account's top-ups, in units. Every JSON parser represents it exactly.
const MaxAmount int64 = 1<<53 - 1

// MaxPrice bounds each part of a price, so that rates do not overflow.
const MaxPrice = 1_000_000

// Price is what a party pays, in whole units per second: for a core, an accelerator, and a GB of memory.
type Price struct {
	Core   int64 `json:"core,omitempty"`
	GPU    int64 `json:"gpu,omitempty"`
	Memory int64 `json:"memory,omitempty"`
}

// Needs are the resources that a run is charged for.
type Needs struct {
	MilliCPU int // thousandths of a core
	MemoryMB int
	GPUs     int
}

// Rate is the cost of a run in thousandths of a unit per second.
type Rate int64

// Valid reports whether every part of the price is from 0 to MaxPrice.
func (p Price) Valid() bool {
	return min(p.Core, p.GPU, p.Memory) >= 0 && max(p.Core, p.GPU, p.Memory) <= MaxPrice
}

// Rate returns the cost rate of a run with these needs.
func (p Price) Rate(n Needs) Rate {
	return Rate(int64(n.MilliCPU)*p.Core + int64(n.GPUs)*1000*p.GPU + int64(n.MemoryMB)*p.Memory)
}

// rateDurationPerUnit is the product of a Rate and a Duration, in milliunits per second times nanoseconds, that costs
// one unit.
const rateDurationPerUnit = 1000 * uint64(time.Second)

// Cost returns the cost of a duration in units, rounded up, at most MaxAmount. It is 0 for a negative duration.
func (r Rate) Cost(duration time.Duration) int64 {
	if r <= 0 || duration <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(r), uint64(duration))
	if high >= rateDurationPerUnit {
		return MaxAmount
	}
	units, remainder := bits.Div64(high, low, rateDurationPerUnit)
	if remainder > 0 {
		units++
	}
	return int64(min(units, uint64(MaxAmount)))
}
