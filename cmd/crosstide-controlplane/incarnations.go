package main

import (
	"context"

	"crosstide/internal/errs"
)

// runIncarnations runs incarnations of a node, one after another, until ctx ends or one fails. The context of run ends
// with ctx, or when removed is called. The store calls removed if it finds that the node was removed from the
// members while it was down; run then returns, and the next incarnation joins again in the same process, because the
// supervisor would count an exit of the process as a failure.
func runIncarnations(ctx context.Context, run func(ctx context.Context, removed func()) error) error {
	for {
		incarnation, cancel := context.WithCancel(ctx)
		err := run(incarnation, cancel)
		cancel()
		if err != nil || ctx.Err() != nil {
			return errs.Pass(err, "incarnations")
		}
	}
}
