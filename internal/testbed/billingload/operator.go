// Package billingload simulates an operator of prepaid balances over the public API: it adds a paying party to the
// bundle of a fleet, opens its account, tops it up, reads it and exports its ledger. SumExport recomputes the
// totals of an export to verify it. The package neither submits jobs nor checks the fleet; package rehearsal does.
package billingload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/testbed/fleet"
)

// Price and reservation window of a party that CreateParty adds.
const (
	CorePrice = 10              // units per core and second
	Window    = 2 * time.Second // run time for which units are reserved
)

const (
	callTimeout  = 2 * time.Second  // of one attempt
	orderTimeout = 30 * time.Second // of an order, over all attempts
	retryBackoff = 50 * time.Millisecond
	connsPerNode = 4
)

// Operator signs and sends orders with the keys of a fleet's operators. It is not safe for concurrent use.
type Operator struct {
	nodes  fleet.Nodes
	keys   []signature.Key
	caller *fleet.Caller
	clock  clock.Clock
	prefix string // of order IDs
	serial int    // number of the last order
	node   int    // index of the control plane to call next, modulo their number
}

// New returns an Operator for the fleet in dir, whose order IDs begin with prefix. It returns Disk and Malformed
// errors.
func New(dir, prefix string) (*Operator, error) {
	nodes, err := fleet.Read(dir)
	if err != nil {
		return nil, errs.Pass(err, "fleet")
	}
	keys, err := fleet.Keys(dir)
	if err != nil {
		return nil, errs.Pass(err, "keys")
	}
	return &Operator{nodes: nodes, keys: keys, caller: fleet.NewCaller(connsPerNode), clock: clock.Real{},
		prefix: prefix}, nil
}

// newOrderID returns an ID that is unique among the orders of o.
func (o *Operator) newOrderID() string {
	o.serial++
	return fmt.Sprintf("%s-%d", o.prefix, o.serial)
}

// call sends a request and returns the body of the answer. After a failure that may be temporary it tries the next
// control plane, until orderTimeout. A refusal is returned as an error of the answer's kind, a time-out as Timeout.
func (o *Operator) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	route, _, _ := strings.Cut(path, "?") // kept out of errors: the query may hold a signature
	for deadline := o.clock.Now() + orderTimeout; ; {
		node := o.nodes.ControlPlanes[o.node%len(o.nodes.ControlPlanes)]
		reply, err := o.caller.Send(ctx, method, node.Addr, path, body, callTimeout)
		switch {
		case err == nil && reply.IsSuccess():
			return reply.Body, nil
		case err == nil && reply.IsRefusal():
			return nil, errs.New(errs.Kind(reply.ErrorKind()), "%s %s: %s", method, route, reply.Body)
		case ctx.Err() == nil && o.clock.Now() <= deadline:
			o.node++
			clock.Sleep(ctx.Done(), o.clock, retryBackoff)
		case err != nil:
			return nil, errs.Wrap(err, errs.Timeout, "%s %s: no valid response within %s", method, route, orderTimeout)
		default:
			return nil, errs.New(errs.Timeout, "%s %s: status %d, no valid response within %s", method, route,
				reply.Status, orderTimeout)
		}
	}
}

// callJSON is like call, but encodes in as the JSON body, or sends no body if in is nil, and decodes the answer into
// out.
func (o *Operator) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errs.Wrap(err, errs.Internal, "encode")
		}
	}
	raw, err := o.call(ctx, method, path, body)
	if err != nil {
		return errs.Pass(err, "ask")
	}
	return errs.Wrap(json.Unmarshal(raw, out), errs.Malformed, "decode answer to %s", path)
}

// CreateParty opens an account and adds a party to the newest bundle that pays for one team. The account, the party and
// the team all have the given name.
func (o *Operator) CreateParty(ctx context.Context, name string) error {
	id, key := o.newOrderID(), o.keys[0]
	var opened json.RawMessage
	err := o.callJSON(ctx, http.MethodPost, "/v1/accounts/"+name+"/create", internalapi.AccountCreateCall{Order: id,
		By: key.Name, Sig: key.Sign(signature.AccountCreate(id, name, 0))}, &opened)
	if err != nil {
		return errs.Pass(err, "open account")
	}
	var newest state.Revision
	if err := o.callJSON(ctx, http.MethodGet, "/v1/bundles/newest", nil, &newest); err != nil {
		return errs.Pass(err, "newest bundle")
	}
	patch := fmt.Appendf(nil,
		`{"parties":{%q:{"teams":[%q],"price":{"core":%d},"reserve":%q,"warn":"30s"}}}`,
		name, name, CorePrice, Window.String())
	drafted, err := o.patch(ctx, newest.Version, patch)
	if err != nil {
		return errs.Pass(err, "patch")
	}
	return errs.Pass(o.sign(ctx, drafted), "sign")
}

// patch creates a draft of the bundle from version base and a patch.
func (o *Operator) patch(ctx context.Context, base uint64, patch []byte) (drafted state.Revision, err error) {
	id, key := o.newOrderID(), o.keys[0]
	query := url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.BundlePatch(id, base, signature.Digest(patch)))}}
	raw, err := o.call(ctx, http.MethodPost, "/v1/bundles/patch?"+query.Encode(), patch)
	if err != nil {
		return drafted, errs.Pass(err, "draft")
	}
	return drafted, errs.Wrap(json.Unmarshal(raw, &drafted), errs.Malformed, "draft")
}

// sign signs a draft with the keys of all operators, which activates it.
func (o *Operator) sign(ctx context.Context, drafted state.Revision) error {
	path := fmt.Sprintf("/v1/bundles/%d/sign", drafted.Version)
	for _, key := range o.keys {
		order := map[string]string{"order": o.newOrderID(), "sha256": drafted.Digest, "by": key.Name,
			"sig": key.Sign(signature.Bundle(drafted.Version, drafted.Digest))}
		var signed json.RawMessage
		if err := o.callJSON(ctx, http.MethodPost, path, order, &signed); err != nil {
			return errs.Pass(err, "%s", key.Name)
		}
	}
	return nil
}

// TopUp is the order for a top-up. It may be sent more than once: its key makes it idempotent.
type TopUp struct {
	Account string
	Call    internalapi.TopUpCall
}

// NewTopUp returns a signed order for a top-up.
func (o *Operator) NewTopUp(account string, amount int64) TopUp {
	id, key := o.newOrderID(), o.keys[0]
	return TopUp{account, internalapi.TopUpCall{Key: id, Amount: amount, By: key.Name,
		Sig: key.Sign(signature.AccountTopUp(id, account, amount))}}
}

// SendTopUp sends a top-up and retries until it is acknowledged.
func (o *Operator) SendTopUp(ctx context.Context, order TopUp) (account.TopUp, error) {
	var done account.TopUp
	err := o.callJSON(ctx, http.MethodPost, "/v1/accounts/"+order.Account+"/top-up", order.Call, &done)
	return done, errs.Pass(err, "top-up")
}

// Account returns the state of an account.
func (o *Operator) Account(ctx context.Context, name string) (internalapi.AccountView, error) {
	var view internalapi.AccountView
	err := o.callJSON(ctx, http.MethodGet, "/v1/accounts/"+name, nil, &view)
	return view, errs.Pass(err, "show")
}

// Export returns an account's ledger as exported by one control plane.
func (o *Operator) Export(ctx context.Context, node fleet.Node, name string) ([]byte, error) {
	path := "/v1/accounts/" + name + "/export"
	reply, err := o.caller.Send(ctx, http.MethodGet, node.Addr, path, nil, callTimeout)
	if err != nil {
		return nil, errs.Pass(err, "export")
	}
	if !reply.IsSuccess() {
		return nil, errs.New(errs.Kind(reply.ErrorKind()), "export: %s", reply.Body)
	}
	return reply.Body, nil
}
