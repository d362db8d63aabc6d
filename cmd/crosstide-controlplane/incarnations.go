package main

import (
	"context"

	"crosstide/internal/errs"
)

// runIncarnations runs incarnations of a node, one after another, until ctx ends or one fails. The context of an
// incarnation ends with ctx, and when removed is called: the store calls it when it finds that the node was removed
// from the members while it was down. The node then joins again in the same process, because a process that exits by
// itself is a failure to its supervisor.
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
