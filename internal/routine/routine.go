// Package routine is the only place of crosstide that starts goroutines, so that whoever starts one can wait for its
// end. internal/lint reports a go statement anywhere else.
//
// A component makes a Group in its Start, runs its loops with Go, and ends them with Stop. The package restarts nothing
// and recovers no panic: a goroutine that panics ends the process.
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

// New returns a group whose context ends with parent, or with Cancel or Stop. Example:
//
//	g := routine.New(context.Background())
//	g.Go(func(ctx context.Context) { <-ctx.Done() })
//	g.Stop() // ends the context and waits for all
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs work on a goroutine. work returns soon after ctx has ended, as Stop waits for it. Go must not run at the same
// time as Stop or Wait, unless it is called by a goroutine of the group.
func (g *Group) Go(work func(ctx context.Context)) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		work(g.ctx)
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

// Each calls work with each of 0 to n-1, on at most width goroutines at a time (one if width is below that), and
// returns once all calls have returned.
func Each(n, width int, work func(i int)) {
	semaphore := make(chan struct{}, max(width, 1))
	var running sync.WaitGroup
	for i := range n {
		semaphore <- struct{}{}
		running.Add(1)
		go func() {
			defer func() { <-semaphore; running.Done() }()
			work(i)
		}()
	}
	running.Wait()
}
