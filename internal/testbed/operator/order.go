package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

// orderTimeout is how long an order is sent to one control plane after another.
const orderTimeout = 30 * time.Second

// answer is a final answer to an order.
type answer struct {
	reply    fleet.Reply
	node     string // that answered
	sent, at int64  // of the call and of its answer, Unix ns
}

// order sends an order, with the repeat probability once more after its answer. It journals each answer as entry, to
// which complete adds what result holds. It returns the first answer and whether that was a success.
func (o *session) order(ctx context.Context, path string, body []byte, entry Entry, result any,
	complete func(*Entry)) (first answer, isDone bool) {
	times := 1
	if o.chance(o.RepeatProbability) {
		times = 2
	}
	for k := range times {
		got, err := o.sendUntilAnswered(ctx, path, body)
		if err != nil {
			o.count(func(r *Report) { r.Unanswered++ })
			entry.Event, entry.Sent, entry.Node = Unanswered, got.sent, got.node
			o.record(entry)
			return first, isDone
		}
		done := o.recordAnswer(got, entry, result, complete)
		if k == 0 {
			first, isDone = got, done
			continue
		}
		o.count(func(r *Report) {
			r.Repeats++
			if string(got.reply.Body) != string(first.reply.Body) || got.reply.Status != first.reply.Status {
				r.RepeatsDiffer++
			}
		})
	}
	return first, isDone
}

// recordAnswer journals an answer and reports whether it is a success.
func (o *session) recordAnswer(got answer, entry Entry, result any, complete func(*Entry)) bool {
	entry.Sent, entry.Node, entry.OK = got.sent, got.node, got.reply.IsSuccess()
	if entry.OK {
		entry.OK = json.Unmarshal(got.reply.Body, result) == nil
		complete(&entry)
	} else {
		entry.Reason = got.reply.ErrorKind()
		o.count(func(r *Report) { r.Refused[entry.Reason]++ })
	}
	o.record(entry)
	return entry.OK
}

// sendUntilAnswered sends an order to one control plane after another until it is answered for good. With the failure
// Timeout the answer still has the node and the time of the last attempt.
func (o *session) sendUntilAnswered(ctx context.Context, path string, body []byte) (answer, error) {
	for deadline := o.clock.Now() + orderTimeout; ; {
		node := o.anyControlPlane()
		got := answer{node: node.Name, sent: o.clock.Wall().UnixNano()}
		reply, err := o.caller.Send(ctx, http.MethodPost, node.Addr, path, body, callTimeout)
		got.reply, got.at = reply, o.clock.Wall().UnixNano()
		if err == nil && !isTransient(reply.Status) {
			return got, nil
		}
		o.count(func(r *Report) { r.Retries++ })
		if o.clock.Now() > deadline || !o.sleep(ctx, retryBackoff) {
			return got, errs.New(errs.Timeout, "no answer to an order in %s", orderTimeout)
		}
	}
}

// isTransient reports whether another attempt, or another node, may answer the same order otherwise.
func isTransient(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// read sends one GET to a node and decodes its answer. It returns false if that fails.
func (o *session) read(ctx context.Context, node fleet.Node, path string, result any) bool {
	reply, err := o.caller.Call(ctx, http.MethodGet, node.Addr, path, nil, callTimeout)
	return err == nil && reply.IsSuccess() && json.Unmarshal(reply.Body, result) == nil
}

func (o *session) anyControlPlane() fleet.Node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nodes.ControlPlanes[o.callRng.IntN(len(o.nodes.ControlPlanes))]
}

func (o *session) chance(probability float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.callRng.Float64() < probability
}
