package main

import (
	"context"

	"crosstide/internal/errs"
)

// runIncarnations runs lives of a node, one after another, until ctx ends. A life ends when its context does; removed ends
// it after the store told that the node was removed from the members while it was away. The node then begins anew as
// another incarnation in the same process: to its supervisor, a process that ends by itself is a failure.
func runIncarnations(ctx context.Context, live func(ctx context.Context, removed func()) error) error {
	for {
		lifecycle, end := context.WithCancel(ctx)
		err := live(lifecycle, end)
		end()
		if err != nil || ctx.Err() != nil {
			return errs.Pass(err, "lives")
		}
	}
}
