package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

// orderTimeout limits how long an order is retried at one control plane after another.
const orderTimeout = 30 * time.Second

// answer is a final answer to an order.
type answer struct {
	reply    fleet.Reply
	node     string // the node that was called
	sent, at int64  // times of the call and of its answer, Unix ns
}

// order sends an order, and with the RepeatProbability sends it again after its answer. It decodes a successful answer
// into result and journals each answer as entry, to which complete adds fields of result. It returns the first answer
// and whether that was a success.
func (o *session) order(ctx context.Context, path string, body []byte, entry Entry, result any,
	complete func(*Entry)) (first answer, isDone bool) {
	times := 1
	if o.chance(o.RepeatProbability) {
		times = 2
	}
	for k := range times {
		current, err := o.sendUntilAnswered(ctx, path, body)
		if err != nil {
			o.count(func(r *Report) { r.Unanswered++ })
			entry.Event, entry.Sent, entry.Node = Unanswered, current.sent, current.node
			o.record(entry)
			return first, isDone
		}
		isSuccess := o.recordAnswer(current, entry, result, complete)
		if k == 0 {
			first, isDone = current, isSuccess
			continue
		}
		o.count(func(r *Report) {
			r.Repeats++
			if string(current.reply.Body) != string(first.reply.Body) || current.reply.Status != first.reply.Status {
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

// sendUntilAnswered sends an order to one control plane after another until it gets a final answer. With the failure
// Timeout it still returns the node and the time of the last attempt.
func (o *session) sendUntilAnswered(ctx context.Context, path string, body []byte) (answer, error) {
	for deadline := o.clock.Now() + orderTimeout; ; {
		node := o.anyControlPlane()
		current := answer{node: node.Name, sent: o.clock.Wall().UnixNano()}
		reply, err := o.caller.Send(ctx, http.MethodPost, node.Addr, path, body, callTimeout)
		current.reply, current.at = reply, o.clock.Wall().UnixNano()
		if err == nil && !isTransient(reply.Status) {
			return current, nil
		}
		o.count(func(r *Report) { r.Retries++ })
		if o.clock.Now() > deadline || !o.sleep(ctx, retryBackoff) {
			return current, errs.New(errs.Timeout, "no answer to an order within %s", orderTimeout)
		}
	}
}

// isTransient reports whether a retry, or another node, may give another answer to the same order.
func isTransient(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// read sends one GET to a node and decodes its answer into result. It returns false if that fails.
func (o *session) read(ctx context.Context, node fleet.Node, path string, result any) bool {
	reply, err := o.caller.Call(ctx, http.MethodGet, node.Addr, path, nil, callTimeout)
	return err == nil && reply.IsSuccess() && json.Unmarshal(reply.Body, result) == nil
}

// anyControlPlane returns a random control plane.
func (o *session) anyControlPlane() fleet.Node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nodes.ControlPlanes[o.callRng.IntN(len(o.nodes.ControlPlanes))]
}

// chance returns true with a probability.
func (o *session) chance(probability float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.callRng.Float64() < probability
}
