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
	callTimeout         = 3 * time.Second        // of one call
	orderTimeout        = 30 * time.Second       // how long an order is sent to one cplane after another
	retryBackoff        = 100 * time.Millisecond // before another cplane is tried
	rolloutPollInterval = 5 * time.Millisecond   // at the roll-out, until every node has the version
	rolloutTimeout      = 5 * time.Second
	downAfter           = 3 * time.Second // a node unheard for it is down, and not waited for
)

// Options are what the operators do.
type Options struct {
	Dir               string        // of the fleet
	For               time.Duration // no change begins after it
	Seed              uint64        // of all chance; what the fleet answers, and when, is no chance of ours
	Interval          time.Duration // from the end of a change to the next, on average
	RaceProbability   float64       // probability that both operators write against the same base at once
	RepeatProbability float64       // probability that an order is sent once more
	// Evacuate is the probability that a zone is evacuated after a change, while none is.
	EvacuateProbability float64
	InvalidProbability  float64 // probability that a text with mistakes is sent before a change
}

// session is the two operators at work.
type session struct {
	Options
	keys      []signature.Key
	nodes     fleet.Nodes
	zones     []string
	caller    *fleet.Caller
	clock     clock.Clock
	rng       *rand.Rand
	writer    *journal.Writer
	prefix    string
	evacuated evacuation

	mu           sync.Mutex
	counts       Report
	toEverywhere *latencies // per change
	toNode       *latencies // per node
	fromForce    *latencies // per node, from the commit
	fromSign     *latencies
	err          error
	callRng      *rand.Rand // for calls at once, under mu
}

// Run lets the operators work on the fleet. Faults: Disk, Malformed, Settings. Example:
//
//	report, err := operator.Run(ctx, operator.Options{Dir: dir, For: time.Minute, Seed: 1, Every: 300 * time.Millisecond})
func Run(ctx context.Context, opt Options) (Report, error) {
	o := &session{Options: opt, caller: fleet.NewCaller(8), clock: clock.Real{}, rng: rand.New(rand.NewPCG(opt.Seed, 3)),
		counts: Report{Refused: map[string]int{}}, callRng: rand.New(rand.NewPCG(opt.Seed, 4)), toEverywhere: newLatencies(), toNode: newLatencies(), fromForce: newLatencies(), fromSign: newLatencies()}
	var err error
	if o.nodes, err = fleet.Read(opt.Dir); err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	if o.keys, err = fleet.Keys(opt.Dir); err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	seen := map[string]bool{}
	for _, m := range o.nodes.Workers {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			o.zones = append(o.zones, m.Zone)
		}
	}
	if len(o.zones) == 0 || len(o.nodes.ControlPlanes) == 0 {
		return Report{}, errs.New(errs.Settings, "the fleet has no minion or no cplane")
	}
	o.prefix = "b" + strconv.FormatInt(o.clock.Wall().UnixMilli(), 36)
	if o.writer, err = journal.Open(filepath.Join(opt.Dir, "journal", "operator-bundles-"+o.prefix+".jsonl")); err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	defer o.writer.Close()
	end := o.clock.Now() + opt.For
	for i := 0; o.clock.Now() < end && ctx.Err() == nil; i++ {
		if o.rng.Float64() < opt.InvalidProbability {
			o.submitInvalid(ctx, i)
		}
		o.change(ctx, i)
		o.maybeEvacuate(ctx, i)
		if o.sleep(ctx, time.Duration(o.rng.ExpFloat64()*float64(opt.Interval))) != nil {
			break
		}
	}
	for i := 0; o.evacuated.zone != "" && i < 10 && ctx.Err() == nil; i++ { // no zone is left out
		o.lift(ctx, -1-i)
	}
	o.counts.Seed = opt.Seed
	o.counts.Acks, o.counts.Everywhere, o.counts.Node, o.counts.FromForce = o.fromSign.spread(), o.toEverywhere.spread(), o.toNode.spread(), o.fromForce.spread()
	return o.counts, errs.Pass(o.err, "operators' journal")
}

// draft is a text that was written.
type draft struct {
	version uint64
	digest  string
	text    []byte
}

// change makes one change: the writing, alone or against each other, the signatures, and the look at all nodes.
func (o *session) change(ctx context.Context, i int) {
	base, err := o.newestVersion(ctx)
	if err != nil {
		_ = o.sleep(ctx, retryBackoff)
		return
	}
	authors := []int{o.rng.IntN(2)}
	if o.rng.Float64() < o.RaceProbability {
		authors = []int{0, 1}
		o.counts.Races++
	}
	texts := make([][]byte, len(authors))
	for k := range texts {
		texts[k] = o.text()
	}
	patchDraft := len(authors) == 1 && o.rng.IntN(3) == 0
	drafts := make([]*draft, len(authors))
	routine.Each(len(authors), 2, func(k int) {
		id := fmt.Sprintf("%s-%d-%d", o.prefix, i, authors[k])
		if patchDraft {
			drafts[k] = o.patchDraft(ctx, id, o.keys[authors[k]], base)
		} else {
			drafts[k] = o.putDraft(ctx, id, o.keys[authors[k]], base, texts[k])
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
	order := o.rng.Perm(2)
	width := 1 + o.rng.IntN(2) // one after the other, or both at once
	ends := make([]signResult, 2)
	routine.Each(2, width, func(k int) {
		ends[k] = o.sign(ctx, fmt.Sprintf("%s-%d-s%d", o.prefix, i, order[k]), o.keys[order[k]], won)
	})
	for _, e := range ends {
		if e.force {
			o.afterForce(ctx, won, e)
		}
	}
}

// submitInvalid sends a text that must be refused with all its mistakes.
func (o *session) submitInvalid(ctx context.Context, i int) {
	base, err := o.newestVersion(ctx)
	if err != nil {
		return
	}
	text := []byte(`{"queues":{"default":{"placement":{"zones":[]},"hold":"soon"}},"limits":{"scan":-1},"nope":1}`)
	id, key := fmt.Sprintf("%s-%d-i", o.prefix, i), o.keys[o.rng.IntN(2)]
	q := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.Put(id, base, signature.Digest(text)))}}
	t, err := o.sendUntilAnswered(ctx, "/v1/bundles?"+q.Encode(), text)
	if o.counts.Invalid++; err == nil && (t.reply.Status != http.StatusUnprocessableEntity || !strings.Contains(string(t.reply.Body), "4 mistakes")) {
		o.counts.InvalidTaken++
	}
}

// afterForce looks at all nodes after a version was acknowledged.
func (o *session) afterForce(ctx context.Context, d *draft, e signResult) {
	o.record(Entry{Event: Force, Sent: e.sent, Node: e.node, Order: e.order, By: e.by, Base: d.version - 1, Version: d.version,
		SHA: d.digest, OK: true, Bundle: d.text})
	o.counts.Changes++
	o.fromSign.record(time.Duration(e.at - e.sent))
	o.awaitRollout(ctx, d.version, e.at)
	for range 1 + o.rng.IntN(2) {
		o.readBack(ctx, o.rng.IntN(len(o.nodes.ControlPlanes)), d)
	}
	for _, node := range o.nodes.DataPlanes {
		o.checkNodeVersion(ctx, node)
	}
}

// newestVersion asks for the version that the next one is written against.
func (o *session) newestVersion(ctx context.Context) (uint64, error) {
	var log struct{ Newest uint64 }
	reply, err := o.caller.Call(ctx, http.MethodGet, o.anyControlPlane().Addr, "/v1/bundles?limit=1", nil, callTimeout)
	if err != nil {
		return 0, errs.Pass(err, "newest")
	}
	if !reply.IsSuccess() {
		return 0, errs.New(errs.Unavailable, "%s", reply.ErrorKind())
	}
	return log.Newest, errs.Wrap(json.Unmarshal(reply.Body, &log), errs.Malformed, "log")
}

func (o *session) anyControlPlane() fleet.Node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nodes.ControlPlanes[o.callRng.IntN(len(o.nodes.ControlPlanes))]
}

func (o *session) chance(p float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.callRng.Float64() < p
}

// answer is a final answer to an order.
type answer struct {
	reply    fleet.Reply
	node     string
	sent, at int64
}

// sendUntilAnswered sends an order to one cplane after another until it is answered for good. Failure: Timeout.
func (o *session) sendUntilAnswered(ctx context.Context, path string, body []byte) (answer, error) {
	for end := o.clock.Now() + orderTimeout; ; {
		node := o.anyControlPlane()
		t := answer{node: node.Name, sent: o.clock.Wall().UnixNano()}
		reply, err := o.caller.Send(ctx, http.MethodPost, node.Addr, path, body, callTimeout)
		t.reply, t.at = reply, o.clock.Wall().UnixNano()
		if err == nil && reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusGatewayTimeout &&
			reply.Status != http.StatusTooManyRequests && reply.Status != http.StatusMisdirectedRequest {
			return t, nil
		}
		o.count(func(r *Report) { r.Retries++ })
		if o.clock.Now() > end || o.sleep(ctx, retryBackoff) != nil {
			return t, errs.New(errs.Timeout, "no answer to an order in %s", orderTimeout)
		}
	}
}

// order sends an order, and perhaps once more; what it gives is the first answer.
func (o *session) order(ctx context.Context, path string, body []byte, e Entry, into any, fill func(*Entry)) (answer, bool) {
	times := 1
	if o.chance(o.RepeatProbability) {
		times = 2
	}
	var first answer
	var firstLine string
	yes := false
	for k := range times {
		t, err := o.sendUntilAnswered(ctx, path, body)
		if err != nil {
			o.count(func(r *Report) { r.Unanswered++ })
			e.Event, e.Sent, e.Node = Unanswered, t.sent, t.node
			o.record(e)
			return first, yes && k > 0
		}
		line := e
		line.Sent, line.Node, line.OK = t.sent, t.node, t.reply.IsSuccess()
		if line.OK {
			line.OK = json.Unmarshal(t.reply.Body, into) == nil
			fill(&line)
		} else {
			line.Reason = t.reply.ErrorKind()
			o.count(func(r *Report) { r.Refused[line.Reason]++ })
		}
		o.record(line)
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

func (o *session) putDraft(ctx context.Context, id string, key signature.Key, base uint64, text []byte) *draft {
	q := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.Put(id, base, signature.Digest(text)))}}
	return o.submitDraft(ctx, "/v1/bundles?"+q.Encode(), text, text, Entry{Event: Put, Order: id, By: key.Name, Base: base})
}

// patchDraft moves one queue; the text is what the fleet made of it, read before anyone signs.
func (o *session) patchDraft(ctx context.Context, id string, key signature.Key, base uint64) *draft {
	raw, err := json.Marshal(map[string]any{"queues": map[string]any{"default": o.queue()}})
	if err != nil {
		return nil
	}
	q := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.Patch(id, base, signature.Digest(raw)))}}
	return o.submitDraft(ctx, "/v1/bundles/patch?"+q.Encode(), raw, nil, Entry{Event: Put, Order: id, By: key.Name, Base: base})
}

func (o *session) submitDraft(ctx context.Context, path string, body, text []byte, e Entry) *draft {
	var done command.BundleDrafted
	_, yes := o.order(ctx, path, body, e, &done, func(e *Entry) { e.Version, e.SHA = done.Version, done.Digest })
	if !yes {
		return nil
	}
	o.count(func(r *Report) { r.Puts++ })
	for try := 0; text == nil && try < 10 && ctx.Err() == nil; try++ {
		reply, err := o.caller.Call(ctx, http.MethodGet, o.anyControlPlane().Addr, fmt.Sprintf("/v1/bundles/%d/body", done.Version), nil, callTimeout)
		if err == nil && reply.IsSuccess() {
			text = reply.Body
		} else if o.sleep(ctx, retryBackoff) != nil {
			break
		}
	}
	if text == nil {
		return nil
	}
	return &draft{done.Version, signature.Digest(text), text}
}

func mustEncode(body map[string]string) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings
	}
	return raw
}

// signResult is what came of a signature.
type signResult struct {
	answer
	order, by string
	force     bool // it put the version in force
}

func (o *session) sign(ctx context.Context, id string, key signature.Key, d *draft) signResult {
	body := mustEncode(map[string]string{"order": id, "sha256": d.digest, "by": key.Name, "sig": key.Sign(signature.Bundle(d.version, d.digest))})
	var done command.BundleSigned
	e := Entry{Event: Sign, Order: id, By: key.Name, Version: d.version, SHA: d.digest}
	t, yes := o.order(ctx, fmt.Sprintf("/v1/bundles/%d/sign", d.version), body, e, &done, func(*Entry) {})
	return signResult{t, id, key.Name, yes && done.Phase == state.RevisionInForce}
}

// awaitRollout asks for the roll-out until every node has the version, and records how long after the acknowledgement at
// (Unix ns) each had it, by its own word.
func (o *session) awaitRollout(ctx context.Context, version uint64, at int64) {
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
	for end := o.clock.Now() + rolloutTimeout; ; {
		reply, err := o.caller.Call(ctx, http.MethodGet, o.anyControlPlane().Addr, "/v1/rollout", nil, callTimeout)
		all := err == nil && reply.IsSuccess() && json.Unmarshal(reply.Body, &out) == nil && len(out.Nodes) > 0
		var last time.Duration
		for _, n := range out.Nodes {
			if all && n.Version < version && o.clock.Wall().Sub(n.Heard) < downAfter {
				all = false
			}
			last = max(last, time.Duration(n.Since.UnixNano()-at))
		}
		if all && out.Version == version {
			o.toEverywhere.record(last)
			for _, n := range out.Nodes {
				if n.Version == version {
					o.toNode.record(time.Duration(n.Since.UnixNano() - at))
					o.fromForce.record(n.Since.Sub(out.Force))
				}
			}
			return
		}
		if out.Version > version {
			return // the other signature's look, or another office
		}
		if o.clock.Now() > end || o.sleep(ctx, rolloutPollInterval) != nil {
			o.count(func(r *Report) { r.NotEverywhere++ })
			return
		}
	}
}

// readBack reads the bytes in force at a cplane; they must be those of d.
func (o *session) readBack(ctx context.Context, at int, d *draft) {
	node, sent := o.nodes.ControlPlanes[at], o.clock.Wall().UnixNano()
	meta, err := o.caller.Call(ctx, http.MethodGet, node.Addr, "/v1/bundles/current", nil, callTimeout)
	var rev state.Revision
	if err != nil || !meta.IsSuccess() || json.Unmarshal(meta.Body, &rev) != nil {
		return
	}
	body, err := o.caller.Call(ctx, http.MethodGet, node.Addr, fmt.Sprintf("/v1/bundles/%d/body", rev.Version), nil, callTimeout)
	if err != nil || !body.IsSuccess() {
		return
	}
	o.record(Entry{Event: ReadBack, Sent: sent, Node: node.Name, Version: rev.Version, SHA: signature.Digest(body.Body), OK: true})
	if o.counts.ReadBacks++; rev.Version == d.version && string(body.Body) != string(d.text) || rev.Version < d.version {
		o.counts.ReadBacksDiffer++
	}
}

// checkNodeVersion asks a dplane which version it goes by.
func (o *session) checkNodeVersion(ctx context.Context, node fleet.Node) {
	sent := o.clock.Wall().UnixNano()
	reply, err := o.caller.Call(ctx, http.MethodGet, node.Addr, "/v1/bundle", nil, callTimeout)
	var is struct{ Version uint64 }
	if err != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &is) != nil {
		o.counts.Unconfirmed++
		o.record(Entry{Event: NodeVersion, Sent: sent, Node: node.Name, Reason: reply.ErrorKind()})
		return
	}
	o.record(Entry{Event: NodeVersion, Sent: sent, Node: node.Name, Version: is.Version, OK: true})
}

func (o *session) record(e Entry) {
	e.At = o.clock.Wall().UnixNano()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = errors.Join(o.err, o.writer.Append(e))
}

func (o *session) count(do func(r *Report)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do(&o.counts)
}

// sleep waits; a fault if ctx ends first.
func (o *session) sleep(ctx context.Context, d time.Duration) error {
	fired := make(chan struct{})
	defer o.clock.Set(d, func() { close(fired) }).Stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Stopped, "the operators are done")
	}
}
