// Command rig plays one case of the review: it starts the programs of deploy/system.toml on loopback addresses, with
// stand-ins for the platform, the servers, the clients and the operator, and checks one rule of the users' pages.
//
// Usage: rig CASE ROOT RECORD. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"crosstide/internal/errs"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playTimeout is the longest time that a case may take, with its start and its end.
const playTimeout = 112 * time.Second

// scenario plays a case on a running fleet and reports whether the rule was broken.
type scenario struct {
	cores, fronts, minions int
	play                   func(ctx context.Context, f *fleet, trouble bool) (broken bool, err error)
}

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"cancel":  {cores: 5, fronts: 9, minions: 12, play: playCancel},
	"evac":    {cores: 5, fronts: 2, minions: 12, play: playEvacuation},
	"reserve": {cores: 5, fronts: 2, minions: 12, play: playReservation},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	broken, err := run(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// run plays the case with a name. It ends all processes that it started before it returns.
func run(name, root, recordPath string) (broken bool, err error) {
	chosen, known := scenarios[name]
	if !known {
		return false, errs.New(errs.Unknown, "no case is named %q", name)
	}
	log, err := newRecord(recordPath)
	if err != nil {
		return false, errs.Pass(err, "record")
	}
	defer log.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, playTimeout)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, disruption %t", name, trouble)
	f, err := startFleet(ctx, log, root, chosen)
	if err != nil {
		return false, errs.Pass(err, "start")
	}
	defer f.stop()
	broken, err = chosen.play(ctx, f, trouble)
	if err != nil {
		log.add("the case could not run: %v", err)
		return false, errs.Pass(err, "play")
	}
	log.add("result: rule broken %t", broken)
	return broken, nil
}
