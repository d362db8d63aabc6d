package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// Signing is the body of POST /v1/bundles/{version}/sign.
type Signing struct {
	Order  string `json:"order"`
	Digest string `json:"sha256"`
	By     string `json:"by"`
	Sig    string `json:"sig"`
}

// Log is the answer of GET /v1/bundles, newest first. Current is the version in force, Newest what a new one is
// written against.
type Log struct {
	Current  uint64           `json:"current"`
	Newest   uint64           `json:"newest"`
	Versions []state.Revision `json:"versions"`
}

// Difference is the answer of GET /v1/bundles/{a}/diff/{b}.
type Difference struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Changes []bundle.Change `json:"changes"`
}

// Zones is the answer of GET /v1/zones.
type Zones struct {
	Zones []query.ZoneView `json:"zones"`
}

// Rollout is the answer of GET /v1/rollout: the version in force and every node with its own. Silent names the
// members of the store that did not answer.
type Rollout struct {
	Version      uint64        `json:"version"`
	InForceSince time.Time     `json:"in_force,omitzero"` // when it came in force
	Nodes        []NodeRollout `json:"nodes"`
	Silent       []string      `json:"silent,omitempty"`
}

// NodeRollout is one node. Took is from when the version came in force until the node had it, by the clocks of two
// cplanes; 0 while the node has another one.
type NodeRollout struct {
	internalapi.NodeBundle
	Current bool          `json:"current"`
	Took    time.Duration `json:"took,omitempty"`
}

// Roller reports which bundle every node has.
type Roller interface {
	Rollout(ctx context.Context) (nodes []internalapi.NodeBundle, silent []string)
}

// serveBundles adds the routes of the bundle; see Serve.
func serveBundles(srv *rpc.Server, s Store) {
	route := func(pattern string, do func(r *http.Request) (any, error)) {
		srv.Route(pattern, func(w http.ResponseWriter, r *http.Request) {
			answer, err := do(r)
			if err != nil {
				rpc.WriteError(w, err)
				return
			}
			if raw, ok := answer.(exactBytes); ok {
				w.Header().Set("Content-Type", "application/json")
				w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
				_, _ = w.Write(raw) // a caller that is gone runs into its own time-out
				return
			}
			rpc.WriteJSON(w, http.StatusOK, answer)
		})
	}
	b := bundleRoutes{s}
	route("POST /v1/bundles", b.put)
	route("POST /v1/bundles/patch", b.patch)
	route("POST /v1/bundles/{version}/sign", b.sign)
	route("GET /v1/bundles", b.log)
	route("GET /v1/bundles/{version}", func(r *http.Request) (any, error) {
		meta, _, err := b.revision(r, "version")
		return meta, errs.Pass(err, "bundle")
	})
	route("GET /v1/bundles/{version}/body", func(r *http.Request) (any, error) {
		_, body, err := b.body(r, "version")
		return exactBytes(body), errs.Pass(err, "bundle")
	})
	route("GET /v1/bundles/{version}/diff/{other}", b.diff)
	route("GET /v1/zones", func(r *http.Request) (any, error) {
		var out Zones
		err := s.Read(r.Context(), func(st *state.State) { out.Zones = query.Zones(st) })
		return out, errs.Pass(err, "zones")
	})
	route("GET /v1/rollout", b.rollout)
}

// exactBytes is an answer that is sent byte for byte.
type exactBytes []byte

// bundleRoutes are the handlers of the bundle.
type bundleRoutes struct{ store Store }

// writtenOrder is an order whose text is the request's body; the rest is in its query.
type writtenOrder struct {
	id   string
	base uint64 // the version that it is written against
	by   string // the operator who signs
	sig  string
	text []byte
}

// readWritten reads a written order. Failures: Invalid, TooLarge, Malformed.
func readWritten(r *http.Request) (writtenOrder, error) {
	q := r.URL.Query()
	order := writtenOrder{id: q.Get("order"), by: q.Get("by"), sig: q.Get("sig")}
	if err := checkOrderID(order.id); err != nil {
		return order, errs.Pass(err, "query")
	}
	var err error
	if order.base, err = strconv.ParseUint(q.Get("base"), 10, 64); err != nil {
		return order, errs.Field(errs.Invalid, "base", "must be the version that this is written against, is %q", q.Get("base"))
	}
	order.text, err = rpc.ReadBody(r, bundle.MaxBytes)
	return order, errs.Pass(err, "body")
}

func (b bundleRoutes) put(r *http.Request) (any, error) {
	order, err := readWritten(r)
	if err != nil {
		return nil, errs.Pass(err, "put")
	}
	if _, err := bundle.Parse(order.text); err != nil { // the store would refuse it too, later
		return nil, errs.Pass(err, "put")
	}
	answer, err := b.store.ProposeOrForward(r.Context(), &command.PutBundle{Order: order.id, Base: order.base, By: order.by, Sig: order.sig, Body: order.text})
	return answer, errs.Pass(err, "put")
}

func (b bundleRoutes) patch(r *http.Request) (any, error) {
	order, err := readWritten(r)
	if err != nil {
		return nil, errs.Pass(err, "patch")
	}
	answer, err := b.store.ProposeOrForward(r.Context(), &command.PatchBundle{Order: order.id, Base: order.base, By: order.by, Sig: order.sig, Patch: order.text})
	return answer, errs.Pass(err, "patch")
}

func (b bundleRoutes) sign(r *http.Request) (any, error) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		return nil, errs.Field(errs.Invalid, "version", "must be a number, is %q", r.PathValue("version"))
	}
	raw, err := rpc.ReadBody(r, maxBody)
	if err != nil {
		return nil, errs.Pass(err, "sign")
	}
	var in Signing
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "the body must be {\"order\",\"sha256\",\"by\",\"sig\"}")
	}
	if err := checkOrderID(in.Order); err != nil {
		return nil, errs.Pass(err, "sign")
	}
	answer, err := b.store.ProposeOrForward(r.Context(), &command.SignBundle{Order: in.Order, Version: version, Digest: in.Digest, By: in.By, Sig: in.Sig})
	return answer, errs.Pass(err, "sign")
}

func (b bundleRoutes) log(r *http.Request) (any, error) {
	limit := state.KeepRevisions
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, errs.Field(errs.Invalid, "limit", "must be a number from 1, is %q", text)
		}
		limit = n
	}
	var out Log
	err := b.store.Read(r.Context(), func(s *state.State) {
		out = Log{s.Bundle.Version, s.Head().Version, query.Revisions(s, limit)}
	})
	return out, errs.Pass(err, "log")
}

// revision reads the version that a part of the path names.
func (b bundleRoutes) revision(r *http.Request, part string) (meta state.Revision, body []byte, err error) {
	word := r.PathValue(part)
	version, wrong := strconv.ParseUint(word, 10, 64)
	if wrong != nil && word != query.Current && word != query.Newest {
		return meta, nil, errs.Field(errs.Invalid, part, "must be a number, %s or %s, is %q", query.Current, query.Newest, word)
	}
	var miss error
	err = b.store.Read(r.Context(), func(s *state.State) {
		switch word {
		case query.Current:
			version = s.Bundle.Version
		case query.Newest:
			version = s.Head().Version
		}
		meta, body, miss = query.Revision(s, version)
	})
	if err == nil {
		err = miss
	}
	return meta, body, errs.Pass(err, "version %s", word)
}

func (b bundleRoutes) body(r *http.Request, part string) (state.Revision, []byte, error) {
	meta, body, err := b.revision(r, part)
	if err == nil && body == nil {
		err = errs.Field(errs.Unknown, part, "the bytes of version %d were let go; its sha256 is %s", meta.Version, meta.Digest)
	}
	return meta, body, errs.Pass(err, "body")
}

func (b bundleRoutes) diff(r *http.Request) (any, error) {
	from, a, err := b.body(r, "version")
	if err != nil {
		return nil, errs.Pass(err, "diff")
	}
	to, c, err := b.body(r, "other")
	if err != nil {
		return nil, errs.Pass(err, "diff")
	}
	changes, err := bundle.Diff(a, c)
	return Difference{from.Version, to.Version, changes}, errs.Pass(err, "diff")
}

func (b bundleRoutes) rollout(r *http.Request) (any, error) {
	var out Rollout
	err := b.store.Read(r.Context(), func(s *state.State) {
		out.Version = s.Bundle.Version
		if rev := s.Revision(out.Version); rev != nil {
			out.InForceSince = rev.InForceSince
		}
	})
	if err != nil {
		return nil, errs.Pass(err, "rollout")
	}
	nodes, silent := b.store.Rollout(r.Context())
	out.Silent = silent
	for _, n := range nodes {
		one := NodeRollout{NodeBundle: n, Current: n.Version >= out.Version}
		if n.Version == out.Version {
			one.Took = max(0, n.Since.Sub(out.InForceSince))
		}
		out.Nodes = append(out.Nodes, one)
	}
	return out, nil
}
