// Package billingload is the stand-in operator of prepaid balances: it puts a paying party into the bundle of a fleet, opens
// its account, tops it up and reads it back, over the public API.
package billingload

import (
	"bytes"
	"context"
	"encoding/csv"
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

// Price and window of the party.
const (
	CorePrice = 10 // units for a second of a core
	Window    = 2 * time.Second
)

// Bounds of the calls.
const (
	callTimeout  = 2 * time.Second
	callDeadline = 30 * time.Second
	retryBackoff = 50 * time.Millisecond
)

// Operator works on a fleet.
type Operator struct {
	nodes    fleet.Nodes
	keys     []signature.Key
	caller   *fleet.Caller
	clock    clock.Clock
	prefix   string // of the orders' ids
	serial   int
	nextNode int // the cplane that is asked first
}

// New makes the operator of the fleet in dir. Failures: Disk, Malformed.
func New(dir, prefix string) (*Operator, error) {
	nodes, err := fleet.Read(dir)
	if err != nil {
		return nil, errs.Pass(err, "fleet")
	}
	keys, err := fleet.Keys(dir)
	if err != nil {
		return nil, errs.Pass(err, "keys")
	}
	return &Operator{nodes: nodes, keys: keys, caller: fleet.NewCaller(4), clock: clock.Real{}, prefix: prefix}, nil
}

// id draws the id of an order.
func (o *Operator) id() string {
	o.serial++
	return fmt.Sprintf("%s-%d", o.prefix, o.serial)
}

// send sends one call to one cplane after another until it is answered for good. Failures: the answer's own, Timeout.
func (o *Operator) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	place, _, _ := strings.Cut(path, "?") // the query may hold a signature
	for end := o.clock.Now() + callDeadline; ; {
		node := o.nodes.ControlPlanes[o.nextNode%len(o.nodes.ControlPlanes)]
		reply, err := o.caller.Send(ctx, method, node.Addr, path, body, callTimeout)
		if err == nil && reply.IsSuccess() {
			return reply.Body, nil
		}
		if err == nil && reply.Status < http.StatusInternalServerError && reply.Status != http.StatusMisdirectedRequest &&
			reply.Status != http.StatusTooManyRequests {
			return nil, errs.New(errs.Kind(reply.ErrorKind()), "%s %s: %s", method, place, reply.Body)
		}
		if ctx.Err() != nil || o.clock.Now() > end {
			if err != nil {
				return nil, errs.Wrap(err, errs.Timeout, "%s %s: no good answer within %s", method, place, callDeadline)
			}
			return nil, errs.New(errs.Timeout, "%s %s: status %d, no good answer within %s", method, place, reply.Status, callDeadline)
		}
		o.nextNode++
		wait := make(chan struct{})
		o.clock.Set(retryBackoff, func() { close(wait) })
		<-wait
	}
}

// callJSON sends a call and decodes its answer.
func (o *Operator) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errs.Wrap(err, errs.Internal, "encode")
		}
	}
	raw, err := o.send(ctx, method, path, body)
	if err != nil {
		return errs.Pass(err, "ask")
	}
	return errs.Wrap(json.Unmarshal(raw, out), errs.Malformed, "answer to %s", path)
}

// CreateParty adds a party that pays for a team of its name to the bundle in force, and opens its account.
func (o *Operator) CreateParty(ctx context.Context, name string) error {
	var open json.RawMessage
	order := o.id()
	err := o.callJSON(ctx, http.MethodPost, "/v1/accounts/"+name+"/create", internalapi.AccountCreateCall{Order: order, By: o.keys[0].Name,
		Sig: o.keys[0].Sign(signature.AccountCreate(order, name, 0))}, &open)
	if err != nil {
		return errs.Pass(err, "open account")
	}
	var newest state.Revision
	if err := o.callJSON(ctx, http.MethodGet, "/v1/bundles/newest", nil, &newest); err != nil {
		return errs.Pass(err, "newest bundle")
	}
	patch := fmt.Appendf(nil, `{"parties":{%q:{"teams":[%q],"price":{"core":%d},"reserve":%q,"warn":"30s"}}}`, name, name, CorePrice, Window.String())
	drafted, err := o.patch(ctx, newest.Version, patch)
	if err != nil {
		return errs.Pass(err, "patch")
	}
	for _, key := range o.keys {
		in := map[string]string{"order": o.id(), "sha256": drafted.Digest, "by": key.Name,
			"sig": key.Sign(signature.Bundle(drafted.Version, drafted.Digest))}
		var signed json.RawMessage
		if err := o.callJSON(ctx, http.MethodPost, fmt.Sprintf("/v1/bundles/%d/sign", drafted.Version), in, &signed); err != nil {
			return errs.Pass(err, "sign")
		}
	}
	return nil
}

func (o *Operator) patch(ctx context.Context, base uint64, patch []byte) (drafted state.Revision, err error) {
	order, key := o.id(), o.keys[0]
	q := url.Values{"order": {order}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(signature.Patch(order, base, signature.Digest(patch)))}}
	raw, err := o.send(ctx, http.MethodPost, "/v1/bundles/patch?"+q.Encode(), patch)
	if err != nil {
		return drafted, errs.Pass(err, "draft")
	}
	return drafted, errs.Wrap(json.Unmarshal(raw, &drafted), errs.Malformed, "draft")
}

// Order is a top-up that is sent once or more.
type Order struct {
	Account string
	Call    internalapi.TopUpCall
}

// NewTopUp makes the order of a top-up.
func (o *Operator) NewTopUp(name string, amount int64) Order {
	key, by := o.id(), o.keys[0]
	return Order{name, internalapi.TopUpCall{Key: key, Amount: amount, By: by.Name, Sig: by.Sign(signature.AccountTopUp(key, name, amount))}}
}

// Send sends a top-up until it is acknowledged.
func (o *Operator) Send(ctx context.Context, order Order) (account.TopUp, error) {
	var done account.TopUp
	err := o.callJSON(ctx, http.MethodPost, "/v1/accounts/"+order.Account+"/top-up", order.Call, &done)
	return done, errs.Pass(err, "top-up")
}

// Account reads an account.
func (o *Operator) Account(ctx context.Context, name string) (internalapi.AccountView, error) {
	var v internalapi.AccountView
	err := o.callJSON(ctx, http.MethodGet, "/v1/accounts/"+name, nil, &v)
	return v, errs.Pass(err, "show")
}

// Export reads an account's ledger from one cplane.
func (o *Operator) Export(ctx context.Context, node fleet.Node, name string) ([]byte, error) {
	reply, err := o.caller.Send(ctx, http.MethodGet, node.Addr, "/v1/accounts/"+name+"/export", nil, callTimeout)
	if err != nil {
		return nil, errs.Pass(err, "export")
	}
	if !reply.IsSuccess() {
		return nil, errs.New(errs.Kind(reply.ErrorKind()), "export: %s", reply.Body)
	}
	return reply.Body, nil
}

// Columns of an export.
const (
	columnKind   = 2
	columnKey    = 3
	columnPart   = 4
	columnAmount = 5
	columnTopUps = 6
	columnSpent  = 7
)

// Sums are what the rows of an export add up to.
type Sums struct {
	ToppedUp, Spent int64
	TopUps          map[string]int64 // by key, of the entries that were not compacted
	Entries         int
}

// SumExport adds an export up from its base row; the sum must be its head row's. Failure: Damaged.
func SumExport(export []byte) (Sums, error) {
	rows, err := csv.NewReader(bytes.NewReader(export)).ReadAll()
	if err != nil {
		return Sums{}, errs.Wrap(err, errs.Damaged, "the export is no CSV")
	}
	if len(rows) < 3 {
		return Sums{}, errs.New(errs.Damaged, "the export has %d rows", len(rows))
	}
	base, head := rows[1], rows[len(rows)-1]
	sums := Sums{ToppedUp: parseAmount(base[columnTopUps]), Spent: parseAmount(base[columnSpent]), TopUps: map[string]int64{}}
	seen := map[string]bool{}
	for _, row := range rows[2 : len(rows)-1] {
		name := row[columnKind] + " " + row[columnKey] + " " + row[columnPart]
		if seen[name] {
			return sums, errs.New(errs.Damaged, "the entry %s stands twice", name)
		}
		seen[name] = true
		amount := parseAmount(row[columnAmount])
		sums.Entries++
		if row[columnKind] == string(account.EntryTopUp) {
			sums.ToppedUp += amount
			sums.TopUps[row[columnKey]] = amount
		} else {
			sums.Spent += amount
		}
	}
	if sums.ToppedUp != parseAmount(head[columnTopUps]) || sums.Spent != parseAmount(head[columnSpent]) {
		return sums, errs.New(errs.Damaged, "the entries add up to %d and %d, the head says %s and %s", sums.ToppedUp, sums.Spent,
			head[columnTopUps], head[columnSpent])
	}
	return sums, nil
}

// parseAmount reads a whole number; what is none is -1, which no sum of an export is.
func parseAmount(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
