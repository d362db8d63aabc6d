// Package routine is the only package of crosstide that starts goroutines: who starts one owns a Group, and whoever
// stops the group knows that none is left.
package routine

import (
	"context"
	"sync"
)

// Group is a set of goroutines that stop together. The zero value is not usable; see New.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New makes a group whose context ends with parent or with Stop. Example:
//
//	g := routine.New(context.Background())
//	g.Go(func(ctx context.Context) { <-ctx.Done() })
//	g.Stop() // ends the context and waits for all
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go starts work in the group.
func (g *Group) Go(work func(ctx context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		work(g.ctx)
	}()
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Cancel ends the group's context and does not wait.
func (g *Group) Cancel() { g.cancel() }

// Stop ends the group's context and waits until all of its goroutines have returned.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}

// Wait waits until all goroutines have returned.
func (g *Group) Wait() { g.wg.Wait() }

// Each runs work for 0..n-1, at most width at once, and waits for all.
func Each(n, width int, work func(i int)) {
	running := make(chan struct{}, max(width, 1))
	var wg sync.WaitGroup
	for i := range n {
		running <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() {
				<-running
				wg.Done()
			}()
			work(i)
		}()
	}
	wg.Wait()
}
