package fleetsim

import (
	"os"
	"strconv"
	"testing"
)

// TestHunt plays as many seeds as FLEETSIM_SEEDS says, from FLEETSIM_FROM on; without it, none. The trace goes to the
// file FLEETSIM_TRACE, if given.
func TestHunt(t *testing.T) {
	count, _ := strconv.ParseUint(os.Getenv("FLEETSIM_SEEDS"), 10, 64)
	from, _ := strconv.ParseUint(os.Getenv("FLEETSIM_FROM"), 10, 64)
	opt := Options{Break: Guard(os.Getenv("FLEETSIM_BREAK"))}
	if path := os.Getenv("FLEETSIM_TRACE"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		opt.Trace = file
	}
	cases := map[Rule]int{}
	for seed := from; seed < from+count; seed++ {
		opt.Seed = seed
		report := Run(opt)
		for _, b := range report.Breaches {
			t.Errorf("seed %d breaks %s at %s: %s", seed, b.Rule, b.At, b.What)
		}
		for rule, n := range report.Cases {
			cases[rule] += n
		}
	}
	t.Log(cases)
}
