package policyworker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/journal"
)

const (
	announceInterval      = 3 * time.Second // unless the answer contains another one
	announceRetryInterval = announceInterval / 6
	announceTimeout       = 2 * time.Second
)

// driver drives one worker's core in a process: it owns the core's clock, timer, journal and pending calls.
type driver struct {
	host      *Host
	traits    Traits
	startedAt time.Duration // time on the host's clock at which the worker's clock is 0
	writer    *journal.Writer

	mu       sync.Mutex // guards the fields below and the use of writer
	core     *Core
	rng      *rand.Rand            // of the injected faults
	lastTag  uint64                // of the newest call
	waiting  map[uint64]chan Reply // unanswered calls, by tag; each channel has a capacity of 1
	timer    clock.Stopper         // calls Core.Tick; nil if none is set
	isClosed bool
}

func newDriver(h *Host, traits Traits, writer *journal.Writer) *driver {
	return &driver{host: h, traits: traits, core: NewCore(traits), writer: writer, startedAt: h.clock.Now(),
		waiting: map[uint64]chan Reply{},
		rng:     rand.New(rand.NewPCG(h.settings.Seed, xxhash.Sum64String(traits.Name)))}
}

// step passes an input to the core at the current time and carries out its actions. Once the driver is closed, it
// discards the input.
func (d *driver) step(input func(now time.Duration) Actions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isClosed {
		return
	}
	d.executeLocked(input(d.host.clock.Now() - d.startedAt))
}

// executeLocked carries out actions. It writes the journal first, so that no answer reports an event that is not
// journaled. The caller holds d.mu.
func (d *driver) executeLocked(actions Actions) {
	for _, e := range actions.Journal {
		e.At = d.host.clock.Wall().UnixNano()
		if err := d.writer.Append(e); err != nil {
			d.closeLocked()
			d.host.workerLeft(errs.Pass(err, "write the journal of minion %s", d.traits.Name))
			return
		}
	}
	for _, r := range actions.Replies {
		if wait := d.waiting[r.Tag]; wait != nil {
			delete(d.waiting, r.Tag)
			wait <- r
		}
	}
	if actions.Exit {
		d.closeLocked()
		d.host.workerLeft(nil)
		return
	}
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if actions.WakeAt != Never {
		wait := d.startedAt + actions.WakeAt - d.host.clock.Now()
		d.timer = d.host.clock.Set(wait, func() { d.step(d.core.Tick) })
	}
}

// closeLocked fails all pending calls and makes step discard all further inputs. The caller holds d.mu.
func (d *driver) closeLocked() {
	d.isClosed = true
	if d.timer != nil {
		d.timer.Stop()
	}
	for tag, wait := range d.waiting {
		delete(d.waiting, tag)
		wait <- Reply{Tag: tag, Err: errs.New(errs.Stopped, "minion %s has left", d.traits.Name)}
	}
}

func (d *driver) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isClosed {
		d.closeLocked()
	}
}

// renewLease passes a call to the core, after an injected delay if one was drawn, and waits for the answer. isLost
// reports that the answer must not be sent, because its loss was drawn or ctx has ended.
func (d *driver) renewLease(ctx context.Context, call internalapi.LeaseCall) (answer internalapi.LeaseAnswer,
	isLost bool, err error) {
	delay, isLost := d.drawFaults(len(call.Starts) > 0)
	if delay > 0 { // independent of ctx: the call is carried out even if its caller has gone
		clock.Sleep(d.host.group.Context().Done(), d.host.clock, delay)
	}
	wait := make(chan Reply, 1)
	var tag uint64
	d.step(func(now time.Duration) Actions {
		d.lastTag++
		tag = d.lastTag
		d.waiting[tag] = wait
		return d.core.RenewLease(now, tag, call)
	})
	if tag == 0 { // step discarded the call
		return answer, false, errs.New(errs.Stopped, "minion %s has left", d.traits.Name)
	}
	select {
	case r := <-wait:
		answer, err = r.Answer, r.Err
	case <-ctx.Done():
		isLost, err = true, errs.Wrap(ctx.Err(), errs.Stopped, "the caller has gone")
	}
	if isLost {
		d.mu.Lock()
		delete(d.waiting, tag)
		d.core.AnswerLost(tag)
		d.mu.Unlock()
	}
	return answer, isLost, err
}

// drawFaults draws the delay of a call and whether its answer is lost.
func (d *driver) drawFaults(hasStarts bool) (delay time.Duration, isLost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	settings := d.host.settings
	isLost = d.rng.Float64() < settings.LossProbability
	if maxDelay := time.Duration(settings.MaxDelay); hasStarts && maxDelay > 0 {
		delay = time.Duration(d.rng.Int64N(int64(maxDelay)) + 1)
		isLost = d.rng.Float64() < 0.5 || isLost
	}
	return delay, isLost
}

// announceLoop announces the worker's address to a data plane until ctx ends. After a failure it goes on with the next
// data plane.
func (d *driver) announceLoop(ctx context.Context) {
	h, t := d.host, d.traits
	call := internalapi.AnnounceWorkerCall{
		Name: t.Name, Addr: h.Addr(), Incarnation: t.Incarnation, Kind: t.Kind, Zone: t.Zone, Rack: t.Rack,
		Labels: t.Labels, Cores: t.Cores, GPUs: t.GPUs,
	}
	nodes := h.settings.DataPlanes
	if len(nodes) == 0 {
		return
	}
	for i := int(xxhash.Sum64String(t.Name) % uint64(len(nodes))); ctx.Err() == nil; {
		interval := announceInterval
		answer, err := rpc.Call(ctx, h.client, nodes[i], internalapi.AnnounceWorker, call, announceTimeout)
		switch {
		case err != nil:
			_ = level.Debug(h.logger).Log("msg", "announcement failed", "worker", t.Name, "to", nodes[i], "err", err)
			i = (i + 1) % len(nodes)
			interval = announceRetryInterval
		case answer.Interval > 0:
			interval = answer.Interval
		}
		clock.Sleep(ctx.Done(), h.clock, interval)
	}
}
