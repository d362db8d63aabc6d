// Package routine is the only package of crosstide that starts goroutines, so that the owner of a goroutine can wait
// for it to return. internal/lint reports a go statement anywhere else.
//
// A component creates a Group in its Start, runs its loops with Go, and ends them with Stop. The package does not
// restart goroutines or recover panics: a goroutine that panics ends the process.
package routine

import (
	"context"
	"sync"
)

// Group is a set of goroutines that stop together. It is safe for concurrent use; the zero value is not usable.
type Group struct {
	ctx     context.Context // passed to every goroutine
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a group whose context ends with parent, or on Cancel or Stop. Example:
//
//	g := routine.New(context.Background())
//	g.Go(func(ctx context.Context) { <-ctx.Done() })
//	g.Stop() // ends the context and waits for all goroutines
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs fn on a new goroutine. fn must return soon after ctx has ended, as Stop waits for it. Go must not run at the
// same time as Stop or Wait, unless a goroutine of the group calls it.
func (g *Group) Go(fn func(ctx context.Context)) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		fn(g.ctx)
	}()
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Cancel ends the group's context. It does not wait for the goroutines.
func (g *Group) Cancel() { g.cancel() }

// Stop ends the group's context and waits until all of its goroutines have returned.
func (g *Group) Stop() {
	g.cancel()
	g.running.Wait()
}

// Wait waits until all goroutines have returned, without ending their context.
func (g *Group) Wait() { g.running.Wait() }

// Each calls fn once with each of 0 to n-1, on at most concurrency goroutines at a time (at least one), and returns
// once all calls have returned.
func Each(n, concurrency int, fn func(i int)) {
	semaphore := make(chan struct{}, max(concurrency, 1))
	var running sync.WaitGroup
	for i := range n {
		semaphore <- struct{}{}
		running.Add(1)
		go func() {
			defer func() { <-semaphore; running.Done() }()
			fn(i)
		}()
	}
	running.Wait()
}
