// Package routine is the one place of crosstide that starts goroutines.
package routine

import (
	"context"
	"sync"
)

// Group is a set of goroutines that stop together. The zero value is not usable; see New.
type Group struct {
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup
}

// New makes a group whose context ends with parent or with Stop. Example:
//
//	g := routine.New(context.Background())
//	g.Go(func(ctx context.Context) { <-ctx.Done() })
//	g.Stop() // ends the context and waits for all
func New(parent context.Context) *Group {
	ctx, stop := context.WithCancel(parent)
	return &Group{ctx: ctx, stop: stop}
}

// Go starts work in the group.
func (g *Group) Go(work func(ctx context.Context)) {
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		work(g.ctx)
	}()
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Cancel ends the group's context and does not wait.
func (g *Group) Cancel() { g.stop() }

// Stop ends the group's context and waits until all of its goroutines have returned.
func (g *Group) Stop() {
	g.stop()
	g.wait.Wait()
}

// Wait waits until all goroutines have returned.
func (g *Group) Wait() { g.wait.Wait() }

// Each runs work for 0..n-1, at most width at once, and waits for all.
func Each(n, width int, work func(i int)) {
	if width < 1 {
		width = 1
	}
	slots := make(chan struct{}, width)
	var wait sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer func() { <-slots; wait.Done() }()
			work(i)
		}()
	}
	wait.Wait()
}
