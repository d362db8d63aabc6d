package account

import (
	"math/bits"
	"time"
)

// MaxAmount bounds what an account may be topped up with in all, in units. It is exact in a JSON number of any reader.
const MaxAmount int64 = 1<<53 - 1

// MaxPrice bounds each part of a price: a rate must not overflow.
const MaxPrice = 1_000_000

// Price is what a party pays, in whole units: for a second of a core, of an accelerator, and of a GB of memory.
type Price struct {
	Core   int64 `json:"core,omitempty"`
	GPU    int64 `json:"gpu,omitempty"`
	Memory int64 `json:"memory,omitempty"`
}

// Needs are what a run takes.
type Needs struct {
	MilliCPU int // thousandths of a core
	MemoryMB int
	GPUs     int
}

// Rate is what a run costs in thousandths of a unit per second.
type Rate int64

// Valid reports whether every part of a price is within its bounds.
func (p Price) Valid() bool {
	return min(p.Core, p.GPU, p.Memory) >= 0 && max(p.Core, p.GPU, p.Memory) <= MaxPrice
}

// Rate returns what a run with these needs costs.
func (p Price) Rate(n Needs) Rate {
	return Rate(int64(n.MilliCPU)*p.Core + int64(n.GPUs)*1000*p.GPU + int64(n.MemoryMB)*p.Memory)
}

// nanosPerMilliunit turns nanoseconds times thousandths of a unit per second into units.
const nanosPerMilliunit = 1000 * uint64(time.Second)

// Cost is the price of a length of time in units, rounded up, at most MaxAmount. A length below 0 costs nothing.
func (r Rate) Cost(length time.Duration) int64 {
	if r <= 0 || length <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(r), uint64(length))
	if high >= nanosPerMilliunit {
		return MaxAmount
	}
	units, rest := bits.Div64(high, low, nanosPerMilliunit)
	if rest > 0 {
		units++
	}
	return int64(min(units, uint64(MaxAmount)))
}
