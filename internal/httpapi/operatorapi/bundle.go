package operatorapi

import (
	"net/http"
	"strconv"

	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// BundleSignature is the body of POST /v1/bundles/{version}/sign.
type BundleSignature struct {
	Order  string `json:"order"`
	Digest string `json:"sha256"`
	By     string `json:"by"`
	Sig    string `json:"sig"`
}

// BundleList is the response to GET /v1/bundles, newest version first. Current is the version in force; Newest is the
// version that a new one must be based on.
type BundleList struct {
	Current  uint64           `json:"current"`
	Newest   uint64           `json:"newest"`
	Versions []state.Revision `json:"versions"`
}

// BundleDiff is the response to GET /v1/bundles/{a}/diff/{b}.
type BundleDiff struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Changes []bundle.Change `json:"changes"`
}

// serveBundles registers the routes of the policy bundle.
func serveBundles(srv *rpc.Server, s Store) {
	b := bundleRoutes{s}
	route(srv, "POST /v1/bundles", b.put)
	route(srv, "POST /v1/bundles/patch", b.patch)
	route(srv, "POST /v1/bundles/{version}/sign", b.sign)
	route(srv, "GET /v1/bundles", b.log)
	route(srv, "GET /v1/bundles/{version}", func(r *http.Request) (any, error) {
		meta, _, err := b.revision(r, "version")
		return meta, errs.Pass(err, "bundle")
	})
	route(srv, "GET /v1/bundles/{version}/body", func(r *http.Request) (any, error) {
		_, body, err := b.body(r, "version")
		return exactBytes(body), errs.Pass(err, "bundle")
	})
	route(srv, "GET /v1/bundles/{version}/diff/{other}", b.diff)
}

// bundleRoutes has the handlers of the bundles' routes.
type bundleRoutes struct{ store Store }

// draftOrder is an order to put or to patch a bundle. The text is the body of the request; the other fields are query
// parameters.
type draftOrder struct {
	id   string
	base uint64 // the version that the draft is based on
	by   string // the operator who signs
	sig  string
	text []byte
}

// readDraftOrder reads the order of a request. Errors: Invalid, TooLarge, Malformed.
func readDraftOrder(r *http.Request) (draftOrder, error) {
	q := r.URL.Query()
	order := draftOrder{id: q.Get("order"), by: q.Get("by"), sig: q.Get("sig")}
	if err := checkID("order", order.id); err != nil {
		return order, errs.Pass(err, "query")
	}
	var err error
	if order.base, err = strconv.ParseUint(q.Get("base"), 10, 64); err != nil {
		return order, errs.Field(errs.Invalid, "base",
			"must be the version that the draft is based on, is %q", q.Get("base"))
	}
	order.text, err = rpc.ReadBody(r, bundle.MaxBytes)
	return order, errs.Pass(err, "body")
}

func (b bundleRoutes) put(r *http.Request) (any, error) {
	order, err := readDraftOrder(r)
	if err != nil {
		return nil, errs.Pass(err, "put")
	}
	if _, err := bundle.Parse(order.text); err != nil { // fails early: the store would reject it too
		return nil, errs.Pass(err, "put")
	}
	answer, err := b.store.ProposeOrForward(r.Context(), &command.PutBundle{Order: order.id, Base: order.base,
		By: order.by, Sig: order.sig, Body: order.text})
	return answer, errs.Pass(err, "put")
}

func (b bundleRoutes) patch(r *http.Request) (any, error) {
	order, err := readDraftOrder(r)
	if err != nil {
		return nil, errs.Pass(err, "patch")
	}
	answer, err := b.store.ProposeOrForward(r.Context(), &command.PatchBundle{Order: order.id, Base: order.base,
		By: order.by, Sig: order.sig, Patch: order.text})
	return answer, errs.Pass(err, "patch")
}

func (b bundleRoutes) sign(r *http.Request) (any, error) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		return nil, errs.Field(errs.Invalid, "version", "must be a number, is %q", r.PathValue("version"))
	}
	var in BundleSignature
	if err := decode(r, &in, "the body must be {\"order\",\"sha256\",\"by\",\"sig\"}"); err != nil {
		return nil, errs.Pass(err, "sign")
	}
	if err := checkID("order", in.Order); err != nil {
		return nil, errs.Pass(err, "sign")
	}
	answer, err := b.store.ProposeOrForward(r.Context(), &command.SignBundle{Order: in.Order, Version: version,
		Digest: in.Digest, By: in.By, Sig: in.Sig})
	return answer, errs.Pass(err, "sign")
}

// log handles GET /v1/bundles.
func (b bundleRoutes) log(r *http.Request) (any, error) {
	limit := state.MaxEnforcedRevisions
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, errs.Field(errs.Invalid, "limit", "must be a number from 1, is %q", text)
		}
		limit = n
	}
	var answer BundleList
	err := b.store.Read(r.Context(), func(s *state.State) {
		answer = BundleList{s.Bundle.Version, s.Head().Version, query.Revisions(s, limit)}
	})
	return answer, errs.Pass(err, "log")
}

// revision returns the bundle version named in the path by a wildcard: a number, query.Current or query.Newest. body is
// nil if the store no longer keeps the version's bytes.
func (b bundleRoutes) revision(r *http.Request, wildcard string) (meta state.Revision, body []byte, err error) {
	name := r.PathValue(wildcard)
	version, invalid := strconv.ParseUint(name, 10, 64)
	if invalid != nil && name != query.Current && name != query.Newest {
		return meta, nil, errs.Field(errs.Invalid, wildcard,
			"must be a number, %s or %s, is %q", query.Current, query.Newest, name)
	}
	var missing error // separate from err: only a confirmed state may report that a version does not exist
	err = b.store.Read(r.Context(), func(s *state.State) {
		switch name {
		case query.Current:
			version = s.Bundle.Version
		case query.Newest:
			version = s.Head().Version
		}
		meta, body, missing = query.Revision(s, version)
	})
	if err == nil {
		err = missing
	}
	return meta, body, errs.Pass(err, "version %s", name)
}

// body is like revision, but fails with errs.Unknown if the store no longer keeps the bytes.
func (b bundleRoutes) body(r *http.Request, wildcard string) (state.Revision, []byte, error) {
	meta, body, err := b.revision(r, wildcard)
	if err == nil && body == nil {
		err = errs.Field(errs.Unknown, wildcard,
			"the bytes of version %d are no longer stored; its sha256 is %s", meta.Version, meta.Digest)
	}
	return meta, body, errs.Pass(err, "body")
}

func (b bundleRoutes) diff(r *http.Request) (any, error) {
	from, fromBody, err := b.body(r, "version")
	if err != nil {
		return nil, errs.Pass(err, "diff")
	}
	to, toBody, err := b.body(r, "other")
	if err != nil {
		return nil, errs.Pass(err, "diff")
	}
	changes, err := bundle.Diff(fromBody, toBody)
	return BundleDiff{from.Version, to.Version, changes}, errs.Pass(err, "diff")
}
