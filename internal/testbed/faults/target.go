// Package faults injects faults into a running fleet of the policy deployment on this machine: it kills and freezes
// processes, has the network proxy cut links, and evacuates zones. Each fault is journaled in DIR/journal for the
// audit: the loss of a process with a time before it happens, an operator's order once it is acknowledged.
//
// Entry point: Open, which returns the fleet as a Target, and the Target's methods. The package generates no load and
// checks no invariants.
package faults

import (
	"context"
	"os/exec"
	"path/filepath"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

const (
	connsPerNode  = 16
	awaitInterval = 100 * time.Millisecond
)

// Target is a running fleet that faults are injected into. It may be used from many goroutines.
type Target struct {
	Dir    string // absolute path of the fleet's folder
	Nodes  fleet.Nodes
	Caller *fleet.Caller

	script string // path of scripts/fleet
	clock  clock.Clock
}

// Open reads the fleet in dir. script is the path of scripts/fleet, which Restart runs; it may be empty if Restart is
// not called. Failures: Settings, Disk, Malformed.
func Open(dir, script string) (*Target, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, errs.Wrap(err, errs.Settings, "fleet")
	}
	nodes, err := fleet.Read(dir)
	if err != nil {
		return nil, errs.Pass(err, "fleet")
	}
	caller := fleet.NewCaller(connsPerNode)
	return &Target{Dir: dir, Nodes: nodes, Caller: caller, script: script, clock: clock.Real{}}, nil
}

// Restart restarts the named processes with `scripts/fleet restart`, to which it passes flags. Failure: Internal.
func (t *Target) Restart(ctx context.Context, names []string, flags ...string) error {
	for _, name := range names {
		cmd := exec.CommandContext(ctx, t.script, append([]string{"restart", t.Dir, name}, flags...)...)
		if output, err := cmd.CombinedOutput(); err != nil {
			return errs.Wrap(err, errs.Internal, "restart %s: %s", name, output)
		}
	}
	return nil
}

// Await polls until ok returns true, and returns how many seconds that took. what describes the condition in the error.
// Failure: Timeout.
func (t *Target) Await(ctx context.Context, timeout time.Duration, what string, ok func() bool) (float64, error) {
	began := t.clock.Now()
	for !ok() {
		if t.clock.Now()-began > timeout || !t.Sleep(ctx, awaitInterval) {
			return 0, errs.New(errs.Timeout, "%s: condition not met within %s", what, timeout)
		}
	}
	return (t.clock.Now() - began).Seconds(), nil
}

// AwaitReady polls until every node is ready, and returns how many seconds that took. Failure: Timeout.
func (t *Target) AwaitReady(ctx context.Context, timeout time.Duration, what string) (float64, error) {
	seconds, err := t.Await(ctx, timeout, what, func() bool { return len(t.NotReady(ctx)) == 0 })
	return seconds, errs.Pass(err, "ready")
}

// NotReady returns the names of the nodes that are not ready.
func (t *Target) NotReady(ctx context.Context) []string {
	return fleet.NotReady(ctx, t.Caller, t.Nodes)
}

// AwaitLeaders polls until isWanted returns true for the fleet's leaders, and returns them. Failure: Timeout.
func (t *Target) AwaitLeaders(ctx context.Context, timeout time.Duration, what string,
	isWanted func(fleet.Leaders) bool) (leaders fleet.Leaders, err error) {
	_, err = t.Await(ctx, timeout, what, func() bool {
		current, err := fleet.FindLeaders(ctx, t.Caller, t.Nodes)
		leaders = current
		return err == nil && isWanted(current)
	})
	return leaders, errs.Pass(err, "leaders")
}

// Sleep waits for d. It returns false if ctx ends first.
func (t *Target) Sleep(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx.Done(), t.clock, d)
}
