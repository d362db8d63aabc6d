package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
)

// Bounds of the operators.
const (
	callBound = 3 * time.Second        // of one call
	giveUp    = 30 * time.Second       // how long an order is sent to one cplane after another
	backOff   = 100 * time.Millisecond // before another cplane is tried
	lookEvery = 5 * time.Millisecond   // at the roll-out, until every node has the version
	lookBound = 5 * time.Second
	downAfter = 3 * time.Second // a node unheard for it is down, and not waited for
)

// Options are what the operators do.
type Options struct {
	Dir   string        // of the fleet
	For   time.Duration // no change begins after it
	Seed  uint64        // of all chance; what the fleet answers, and when, is no chance of ours
	Every time.Duration // from the end of a change to the next, on average
	Race  float64       // probability that both operators write against the same base at once
	Again float64       // probability that an order is sent once more
	// Evacuate is the probability that a zone is evacuated after a change, while none is.
	Evacuate float64
	Invalid  float64 // probability that a text with mistakes is sent before a change
}

// office is the two operators at work.
type office struct {
	Options
	keys   []signature.Key
	nodes  fleet.Nodes
	zones  []string
	caller *fleet.Caller
	clock  clock.Clock
	luck   *rand.Rand
	book   *journal.Writer
	prefix string
	out    evacuated

	mu     sync.Mutex
	counts Report
	all    *latencies // per change
	each   *latencies // per node
	force  *latencies // per node, from the commit
	acks   *latencies
	broke  error
	spare  *rand.Rand // for calls at once, under mu
}

// Run lets the operators work on the fleet. Faults: Disk, Malformed, Settings. Example:
//
//	report, err := operator.Run(ctx, operator.Options{Dir: dir, For: time.Minute, Seed: 1, Every: 300 * time.Millisecond})
func Run(ctx context.Context, opt Options) (Report, error) {
	o := &office{Options: opt, caller: fleet.NewCaller(8), clock: clock.Real{}, luck: rand.New(rand.NewPCG(opt.Seed, 3)),
		counts: Report{Refused: map[string]int{}}, spare: rand.New(rand.NewPCG(opt.Seed, 4)), all: newLatencies(), each: newLatencies(), force: newLatencies(), acks: newLatencies()}
	var err error
	if o.nodes, err = fleet.Read(opt.Dir); err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	if o.keys, err = fleet.Keys(opt.Dir); err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	seen := map[string]bool{}
	for _, m := range o.nodes.Minions {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			o.zones = append(o.zones, m.Zone)
		}
	}
	if len(o.zones) == 0 || len(o.nodes.CPlanes) == 0 {
		return Report{}, errs.New(errs.Settings, "the fleet has no minion or no cplane")
	}
	o.prefix = "b" + strconv.FormatInt(o.clock.Wall().UnixMilli(), 36)
	if o.book, err = journal.Open(filepath.Join(opt.Dir, "journal", "operator-bundles-"+o.prefix+".jsonl")); err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	defer o.book.Close()
	end := o.clock.Now() + opt.For
	for i := 0; o.clock.Now() < end && ctx.Err() == nil; i++ {
		if o.luck.Float64() < opt.Invalid {
			o.invalid(ctx, i)
		}
		o.change(ctx, i)
		o.zone(ctx, i)
		if o.rest(ctx, time.Duration(o.luck.ExpFloat64()*float64(opt.Every))) != nil {
			break
		}
	}
	for i := 0; o.out.zone != "" && i < 10 && ctx.Err() == nil; i++ { // no zone is left out
		o.lift(ctx, -1-i)
	}
	o.counts.Seed = opt.Seed
	o.counts.Acks, o.counts.Everywhere, o.counts.Node, o.counts.FromForce = o.acks.spread(), o.all.spread(), o.each.spread(), o.force.spread()
	return o.counts, errs.Pass(o.broke, "operators' journal")
}

// draft is a text that was written.
type draft struct {
	version uint64
	digest  string
	text    []byte
}

// change makes one change: the writing, alone or against each other, the signatures, and the look at all nodes.
func (o *office) change(ctx context.Context, i int) {
	base, err := o.newest(ctx)
	if err != nil {
		_ = o.rest(ctx, backOff)
		return
	}
	authors := []int{o.luck.IntN(2)}
	if o.luck.Float64() < o.Race {
		authors = []int{0, 1}
		o.counts.Races++
	}
	texts := make([][]byte, len(authors))
	for k := range texts {
		texts[k] = o.text()
	}
	patch := len(authors) == 1 && o.luck.IntN(3) == 0
	drafts := make([]*draft, len(authors))
	routine.Each(len(authors), 2, func(k int) {
		id := fmt.Sprintf("%s-%d-%d", o.prefix, i, authors[k])
		if patch {
			drafts[k] = o.patch(ctx, id, o.keys[authors[k]], base)
		} else {
			drafts[k] = o.put(ctx, id, o.keys[authors[k]], base, texts[k])
		}
	})
	var won *draft
	for _, d := range drafts {
		if d != nil && won != nil {
			o.counts.BothWon++
		}
		if d != nil {
			won = d
		}
	}
	if won == nil {
		return
	}
	order := o.luck.Perm(2)
	width := 1 + o.luck.IntN(2) // one after the other, or both at once
	ends := make([]signed, 2)
	routine.Each(2, width, func(k int) {
		ends[k] = o.sign(ctx, fmt.Sprintf("%s-%d-s%d", o.prefix, i, order[k]), o.keys[order[k]], won)
	})
	for _, e := range ends {
		if e.force {
			o.inForce(ctx, won, e)
		}
	}
}

// invalid sends a text that must be refused with all its mistakes.
func (o *office) invalid(ctx context.Context, i int) {
	base, err := o.newest(ctx)
	if err != nil {
		return
	}
	text := []byte(`{"queues":{"default":{"placement":{"zones":[]},"hold":"soon"}},"limits":{"scan":-1},"nope":1}`)
	id, key := fmt.Sprintf("%s-%d-i", o.prefix, i), o.keys[o.luck.IntN(2)]
	q := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.Put(id, base, signature.Digest(text)))}}
	t, err := o.insist(ctx, "/v1/bundles?"+q.Encode(), text)
	if o.counts.Invalid++; err == nil && (t.reply.Status != http.StatusUnprocessableEntity || !strings.Contains(string(t.reply.Body), "4 mistakes")) {
		o.counts.InvalidTaken++
	}
}

// inForce looks at all nodes after a version was acknowledged.
func (o *office) inForce(ctx context.Context, d *draft, e signed) {
	o.note(Entry{Ev: Force, Sent: e.sent, Node: e.node, Order: e.order, By: e.by, Base: d.version - 1, Version: d.version,
		SHA: d.digest, OK: true, Bundle: d.text})
	o.counts.Changes++
	o.acks.record(time.Duration(e.at - e.sent))
	o.look(ctx, d.version, e.at)
	for range 1 + o.luck.IntN(2) {
		o.readBack(ctx, o.luck.IntN(len(o.nodes.CPlanes)), d)
	}
	for _, node := range o.nodes.DPlanes {
		o.has(ctx, node)
	}
}

// newest asks for the version that the next one is written against.
func (o *office) newest(ctx context.Context) (uint64, error) {
	var log struct{ Newest uint64 }
	reply, err := o.caller.Call(ctx, http.MethodGet, o.anyCore().Addr, "/v1/bundles?limit=1", nil, callBound)
	if err != nil {
		return 0, errs.Pass(err, "newest")
	}
	if !reply.Good() {
		return 0, errs.New(errs.Unavailable, "%s", reply.Kind())
	}
	return log.Newest, errs.Wrap(json.Unmarshal(reply.Body, &log), errs.Malformed, "log")
}

func (o *office) anyCore() fleet.Node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nodes.CPlanes[o.spare.IntN(len(o.nodes.CPlanes))]
}

func (o *office) chance(p float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.spare.Float64() < p
}

// told is a final answer to an order.
type told struct {
	reply    fleet.Reply
	node     string
	sent, at int64
}

// insist sends an order to one cplane after another until it is answered for good. Failure: Timeout.
func (o *office) insist(ctx context.Context, path string, body []byte) (told, error) {
	for end := o.clock.Now() + giveUp; ; {
		node := o.anyCore()
		t := told{node: node.Name, sent: o.clock.Wall().UnixNano()}
		reply, err := o.caller.Send(ctx, http.MethodPost, node.Addr, path, body, callBound)
		t.reply, t.at = reply, o.clock.Wall().UnixNano()
		if err == nil && reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusGatewayTimeout &&
			reply.Status != http.StatusTooManyRequests && reply.Status != http.StatusMisdirectedRequest {
			return t, nil
		}
		o.count(func(r *Report) { r.Tries++ })
		if o.clock.Now() > end || o.rest(ctx, backOff) != nil {
			return t, errs.New(errs.Timeout, "no answer to an order in %s", giveUp)
		}
	}
}

// order sends an order, and perhaps once more; what it gives is the first answer.
func (o *office) order(ctx context.Context, path string, body []byte, e Entry, into any, fill func(*Entry)) (told, bool) {
	times := 1
	if o.chance(o.Again) {
		times = 2
	}
	var first told
	var firstLine string
	yes := false
	for k := range times {
		t, err := o.insist(ctx, path, body)
		if err != nil {
			o.count(func(r *Report) { r.Unsure++ })
			e.Ev, e.Sent, e.Node = Unsure, t.sent, t.node
			o.note(e)
			return first, yes && k > 0
		}
		line := e
		line.Sent, line.Node, line.OK = t.sent, t.node, t.reply.Good()
		if line.OK {
			line.OK = json.Unmarshal(t.reply.Body, into) == nil
			fill(&line)
		} else {
			line.Why = t.reply.Kind()
			o.count(func(r *Report) { r.Refused[line.Why]++ })
		}
		o.note(line)
		if k == 0 {
			first, firstLine, yes = t, string(t.reply.Body), line.OK
			continue
		}
		o.count(func(r *Report) {
			if r.Repeats++; string(t.reply.Body) != firstLine || t.reply.Status != first.reply.Status {
				r.RepeatsDiffer++
			}
		})
	}
	return first, yes
}

func (o *office) put(ctx context.Context, id string, key signature.Key, base uint64, text []byte) *draft {
	q := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.Put(id, base, signature.Digest(text)))}}
	return o.write(ctx, "/v1/bundles?"+q.Encode(), text, text, Entry{Ev: Put, Order: id, By: key.Name, Base: base})
}

// patch moves one queue; the text is what the fleet made of it, read before anyone signs.
func (o *office) patch(ctx context.Context, id string, key signature.Key, base uint64) *draft {
	raw, err := json.Marshal(map[string]any{"queues": map[string]any{"default": o.queue()}})
	if err != nil {
		return nil
	}
	q := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.Patch(id, base, signature.Digest(raw)))}}
	return o.write(ctx, "/v1/bundles/patch?"+q.Encode(), raw, nil, Entry{Ev: Put, Order: id, By: key.Name, Base: base})
}

func (o *office) write(ctx context.Context, path string, body, text []byte, e Entry) *draft {
	var done command.BundleDrafted
	_, yes := o.order(ctx, path, body, e, &done, func(e *Entry) { e.Version, e.SHA = done.Version, done.Digest })
	if !yes {
		return nil
	}
	o.count(func(r *Report) { r.Puts++ })
	for try := 0; text == nil && try < 10 && ctx.Err() == nil; try++ {
		reply, err := o.caller.Call(ctx, http.MethodGet, o.anyCore().Addr, fmt.Sprintf("/v1/bundles/%d/body", done.Version), nil, callBound)
		if err == nil && reply.Good() {
			text = reply.Body
		} else if o.rest(ctx, backOff) != nil {
			break
		}
	}
	if text == nil {
		return nil
	}
	return &draft{done.Version, signature.Digest(text), text}
}

func encoded(body map[string]string) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings
	}
	return raw
}

// signed is what came of a signature.
type signed struct {
	told
	order, by string
	force     bool // it put the version in force
}

func (o *office) sign(ctx context.Context, id string, key signature.Key, d *draft) signed {
	body := encoded(map[string]string{"order": id, "sha256": d.digest, "by": key.Name, "sig": key.Sign(signature.Bundle(d.version, d.digest))})
	var done command.BundleSigned
	e := Entry{Ev: Sign, Order: id, By: key.Name, Version: d.version, SHA: d.digest}
	t, yes := o.order(ctx, fmt.Sprintf("/v1/bundles/%d/sign", d.version), body, e, &done, func(*Entry) {})
	return signed{t, id, key.Name, yes && done.Phase == state.RevisionInForce}
}

// look asks for the roll-out until every node has the version, and records how long after the acknowledgement at
// (Unix ns) each had it, by its own word.
func (o *office) look(ctx context.Context, version uint64, at int64) {
	var out struct {
		Version uint64
		Force   time.Time `json:"in_force"`
		Nodes   []struct {
			Node    string
			Version uint64
			Since   time.Time
			Heard   time.Time
		}
	}
	for end := o.clock.Now() + lookBound; ; {
		reply, err := o.caller.Call(ctx, http.MethodGet, o.anyCore().Addr, "/v1/rollout", nil, callBound)
		all := err == nil && reply.Good() && json.Unmarshal(reply.Body, &out) == nil && len(out.Nodes) > 0
		var last time.Duration
		for _, n := range out.Nodes {
			if all && n.Version < version && o.clock.Wall().Sub(n.Heard) < downAfter {
				all = false
			}
			last = max(last, time.Duration(n.Since.UnixNano()-at))
		}
		if all && out.Version == version {
			o.all.record(last)
			for _, n := range out.Nodes {
				if n.Version == version {
					o.each.record(time.Duration(n.Since.UnixNano() - at))
					o.force.record(n.Since.Sub(out.Force))
				}
			}
			return
		}
		if out.Version > version {
			return // the other signature's look, or another office
		}
		if o.clock.Now() > end || o.rest(ctx, lookEvery) != nil {
			o.count(func(r *Report) { r.NotEverywhere++ })
			return
		}
	}
}

// readBack reads the bytes in force at a cplane; they must be those of d.
func (o *office) readBack(ctx context.Context, at int, d *draft) {
	node, sent := o.nodes.CPlanes[at], o.clock.Wall().UnixNano()
	meta, err := o.caller.Call(ctx, http.MethodGet, node.Addr, "/v1/bundles/current", nil, callBound)
	var rev state.Revision
	if err != nil || !meta.Good() || json.Unmarshal(meta.Body, &rev) != nil {
		return
	}
	body, err := o.caller.Call(ctx, http.MethodGet, node.Addr, fmt.Sprintf("/v1/bundles/%d/body", rev.Version), nil, callBound)
	if err != nil || !body.Good() {
		return
	}
	o.note(Entry{Ev: Read, Sent: sent, Node: node.Name, Version: rev.Version, SHA: signature.Digest(body.Body), OK: true})
	if o.counts.ReadBacks++; rev.Version == d.version && string(body.Body) != string(d.text) || rev.Version < d.version {
		o.counts.ReadBacksDiffer++
	}
}

// has asks a dplane which version it goes by.
func (o *office) has(ctx context.Context, node fleet.Node) {
	sent := o.clock.Wall().UnixNano()
	reply, err := o.caller.Call(ctx, http.MethodGet, node.Addr, "/v1/bundle", nil, callBound)
	var is struct{ Version uint64 }
	if err != nil || !reply.Good() || json.Unmarshal(reply.Body, &is) != nil {
		o.counts.Mute++
		o.note(Entry{Ev: Has, Sent: sent, Node: node.Name, Why: reply.Kind()})
		return
	}
	o.note(Entry{Ev: Has, Sent: sent, Node: node.Name, Version: is.Version, OK: true})
}

func (o *office) note(e Entry) {
	e.At = o.clock.Wall().UnixNano()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broke = errors.Join(o.broke, o.book.Append(e))
}

func (o *office) count(do func(r *Report)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(&o.counts)
}

// rest waits; a fault if ctx ends first.
func (o *office) rest(ctx context.Context, d time.Duration) error {
	fired := make(chan struct{})
	defer o.clock.Set(d, func() { close(fired) }).Stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Stopped, "the operators are done")
	}
}
