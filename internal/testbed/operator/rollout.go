package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/testbed/fleet"
)

const (
	rolloutPollInterval = 5 * time.Millisecond
	rolloutTimeout      = 5 * time.Second // until every node has a version
	downAfter           = 3 * time.Second // a node unheard for it is down, and not waited for
)

// rollout is the part of GET /v1/rollout that the operators read.
type rollout struct {
	Version uint64        // in force
	Force   time.Time     `json:"in_force"` // since when
	Nodes   []nodeVersion // as the nodes report it
}

type nodeVersion struct {
	Node    string
	Version uint64
	Since   time.Time
	Heard   time.Time
}

// reached reports whether every node that is up has a version or a newer one, and returns how long after at (Unix ns)
// the last node changed its version.
func (r *rollout) reached(version uint64, at int64, now time.Time) (everywhere bool, last time.Duration) {
	everywhere = len(r.Nodes) > 0
	for _, n := range r.Nodes {
		if n.Version < version && now.Sub(n.Heard) < downAfter {
			everywhere = false
		}
		last = max(last, time.Duration(n.Since.UnixNano()-at))
	}
	return everywhere, last
}

// afterForce handles a version that the signature of result has put in force: it waits for the roll-out, reads the
// bytes back and asks the data planes for their versions.
func (o *session) afterForce(ctx context.Context, d *draft, result signResult) {
	o.record(Entry{Event: Force, Sent: result.sent, Node: result.node, Order: result.order, By: result.by,
		Base: d.version - 1, Version: d.version, SHA: d.digest, OK: true, Bundle: d.text})
	o.counts.Changes++
	o.fromSign.Record(time.Duration(result.at - result.sent))
	o.awaitRollout(ctx, d.version, result.at)
	for range 1 + o.rng.IntN(2) {
		o.readBack(ctx, o.nodes.ControlPlanes[o.rng.IntN(len(o.nodes.ControlPlanes))], d)
	}
	for _, node := range o.nodes.DataPlanes {
		o.checkNodeVersion(ctx, node)
	}
}

// awaitRollout polls the roll-out until every node has the version, and records how long after the acknowledgement
// at (Unix ns) each had it, as it reports itself.
func (o *session) awaitRollout(ctx context.Context, version uint64, at int64) {
	var seen rollout
	for deadline := o.clock.Now() + rolloutTimeout; ; {
		isRead := o.read(ctx, o.anyControlPlane(), "/v1/rollout", &seen)
		everywhere, last := seen.reached(version, at, o.clock.Wall())
		if isRead && everywhere && seen.Version == version {
			o.recordRollout(&seen, at, last)
			return
		}
		if seen.Version > version {
			return // a newer one is in force, of the other signature or another session
		}
		if o.clock.Now() > deadline || !o.sleep(ctx, rolloutPollInterval) {
			o.count(func(r *Report) { r.NotEverywhere++ })
			return
		}
	}
}

func (o *session) recordRollout(seen *rollout, at int64, last time.Duration) {
	o.toEverywhere.Record(last)
	for _, n := range seen.Nodes {
		if n.Version == seen.Version {
			o.toNode.Record(time.Duration(n.Since.UnixNano() - at))
			o.fromForce.Record(n.Since.Sub(seen.Force))
		}
	}
}

// readBack reads the bytes in force at a control plane; they must be those of d.
func (o *session) readBack(ctx context.Context, node fleet.Node, d *draft) {
	sent := o.clock.Wall().UnixNano()
	var current state.Revision
	if !o.read(ctx, node, "/v1/bundles/current", &current) {
		return
	}
	path := fmt.Sprintf("/v1/bundles/%d/body", current.Version)
	body, err := o.caller.Call(ctx, http.MethodGet, node.Addr, path, nil, callTimeout)
	if err != nil || !body.IsSuccess() {
		return
	}
	o.record(Entry{Event: ReadBack, Sent: sent, Node: node.Name, Version: current.Version,
		SHA: signature.Digest(body.Body), OK: true})
	o.counts.ReadBacks++
	isOther := current.Version == d.version && string(body.Body) != string(d.text)
	if isOther || current.Version < d.version {
		o.counts.ReadBacksDiffer++
	}
}

// checkNodeVersion asks a data plane which version it follows, and journals the answer.
func (o *session) checkNodeVersion(ctx context.Context, node fleet.Node) {
	sent := o.clock.Wall().UnixNano()
	reply, err := o.caller.Call(ctx, http.MethodGet, node.Addr, "/v1/bundle", nil, callTimeout)
	var followed struct{ Version uint64 }
	if err != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &followed) != nil {
		o.counts.Unconfirmed++
		o.record(Entry{Event: NodeVersion, Sent: sent, Node: node.Name, Reason: reply.ErrorKind()})
		return
	}
	o.record(Entry{Event: NodeVersion, Sent: sent, Node: node.Name, Version: followed.Version, OK: true})
}
