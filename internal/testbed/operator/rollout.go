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
	rolloutTimeout      = 5 * time.Second // for every node to have a version
	downAfter           = 3 * time.Second // a node not heard of for so long is down, and not waited for
)

// rollout is the part of GET /v1/rollout that the operators read.
type rollout struct {
	Version uint64        // in force
	InForce time.Time     `json:"in_force"` // when Version came into force
	Nodes   []nodeVersion // as the nodes report themselves
}

// nodeVersion is the version that a node follows.
type nodeVersion struct {
	Node    string
	Version uint64
	Since   time.Time // when the node took over the version
	Heard   time.Time // when the node last reported
}

// reached reports whether every node that is not down follows a version or a newer one, and returns how long after at
// (Unix ns) the last node changed its version, or 0 if all did before.
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

// afterForce checks a version that the signature of result has put in force: it waits for the rollout, reads the bytes
// back and asks the data planes for their versions.
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

// awaitRollout polls the rollout until every node follows the version, and records how long after the acknowledgement
// at (Unix ns) each one did so, by the node's own report.
func (o *session) awaitRollout(ctx context.Context, version uint64, at int64) {
	var current rollout
	for deadline := o.clock.Now() + rolloutTimeout; ; {
		isRead := o.read(ctx, o.anyControlPlane(), "/v1/rollout", &current)
		everywhere, last := current.reached(version, at, o.clock.Wall())
		if isRead && everywhere && current.Version == version {
			o.recordRollout(&current, at, last)
			return
		}
		if current.Version > version {
			return // a newer version is in force, by the other signature or another session
		}
		if o.clock.Now() > deadline || !o.sleep(ctx, rolloutPollInterval) {
			o.count(func(r *Report) { r.NotEverywhere++ })
			return
		}
	}
}

func (o *session) recordRollout(current *rollout, at int64, last time.Duration) {
	o.toEverywhere.Record(last)
	for _, n := range current.Nodes {
		if n.Version == current.Version {
			o.toNode.Record(time.Duration(n.Since.UnixNano() - at))
			o.fromForce.Record(n.Since.Sub(current.InForce))
		}
	}
}

// readBack reads the bundle in force from a control plane. It must be d, with the same bytes, or a newer version.
func (o *session) readBack(ctx context.Context, node fleet.Node, d *draft) {
	sent := o.clock.Wall().UnixNano()
	var current state.Revision
	if !o.read(ctx, node, "/v1/bundles/current", &current) {
		return
	}
	path := fmt.Sprintf("/v1/bundles/%d/body", current.Version)
	reply, err := o.caller.Call(ctx, http.MethodGet, node.Addr, path, nil, callTimeout)
	if err != nil || !reply.IsSuccess() {
		return
	}
	o.record(Entry{Event: ReadBack, Sent: sent, Node: node.Name, Version: current.Version,
		SHA: signature.Digest(reply.Body), OK: true})
	o.counts.ReadBacks++
	hasOtherBytes := current.Version == d.version && string(reply.Body) != string(d.text)
	if hasOtherBytes || current.Version < d.version {
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
