package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// fakeStore is a store of one node that commits immediately.
type fakeStore struct{ st *state.State }

func (d *fakeStore) ProposeOrForward(_ context.Context, c command.Command) (json.RawMessage, error) {
	data, err := command.Encode(time.Unix(int64(d.st.Index), 0), c)
	if err != nil {
		return nil, err
	}
	answer, err := command.Apply(d.st, d.st.Index+1, 1, data)
	if err != nil {
		return nil, err
	}
	return json.Marshal(answer)
}

func (d *fakeStore) Read(_ context.Context, read func(*state.State)) error { read(d.st); return nil }
func (*fakeStore) Status() internalapi.StatusAnswer                        { return internalapi.StatusAnswer{} }
func (*fakeStore) Rollout(context.Context) ([]internalapi.NodeBundle, []string) {
	nodes := []internalapi.NodeBundle{{Node: "c1", Version: 2, Since: time.Unix(60, 0)}, {Node: "d1", Version: 1}}
	return nodes, []string{"c2"}
}

func TestServe_bundle(t *testing.T) {
	Convey("A bundle is put, signed twice and read back byte for byte; unsigned orders are answered 403", t, func() {
		store := &fakeStore{state.New()}
		keys := map[string]signature.Key{}
		public := map[string]string{}
		for _, name := range []string{"ada", "ben"} {
			key, err := signature.New(name)
			So(err, ShouldBeNil)
			keys[name], public[name] = key, key.Public()
		}
		_, err := store.ProposeOrForward(t.Context(), &command.SetOperators{Operators: public})
		So(err, ShouldBeNil)
		srv := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		Register(srv, store, func(id string) string { return id }, func() []membership.MemberStatus { return nil })
		So(srv.Start(), ShouldBeNil)
		defer func() { _ = srv.Stop(time.Second) }()
		call := func(method, path string, body []byte) (int, string) {
			req, err := http.NewRequest(method, "http://"+srv.Addr()+path, bytes.NewReader(body))
			So(err, ShouldBeNil)
			res, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			defer func() { _ = res.Body.Close() }()
			raw, err := io.ReadAll(res.Body)
			So(err, ShouldBeNil)
			return res.StatusCode, string(raw)
		}
		put := func(by string, base uint64, text string) (int, string) {
			order := fmt.Sprint("o", by, base, len(text))
			q := url.Values{"order": {order}, "base": {fmt.Sprint(base)}, "by": {by},
				"sig": {keys[by].Sign(signature.BundlePut(order, base, signature.Digest([]byte(text))))}}
			return call("POST", "/v1/bundles?"+q.Encode(), []byte(text))
		}
		text := "{\"queues\":\t{\"default\":{ }}}\n\n"
		status, _ := call("POST", "/v1/bundles?order=o&base=1", []byte(text))
		So(status, ShouldEqual, 403)
		status, raw := put("ada", 1, `{"queues":{"q":{"zone":1}},"x":1}`)
		So(fmt.Sprint(status, raw), ShouldContainSubstring, "422")
		So(raw, ShouldContainSubstring, `queues.q.zone: is not a known field\nx: is not a known field`)
		status, _ = put("ada", 1, text)
		So(status, ShouldEqual, 200)
		status, raw = put("ben", 1, text)
		So(fmt.Sprint(status, raw), ShouldContainSubstring, "conflicting change")
		So(status, ShouldEqual, 409)
		for _, by := range []string{"ada", "ben"} {
			digest := signature.Digest([]byte(text))
			sig := BundleSignature{Order: "s" + by, Digest: digest, By: by, Sig: keys[by].Sign(signature.Bundle(2, digest))}
			body, err := json.Marshal(sig)
			So(err, ShouldBeNil)
			status, raw = call("POST", "/v1/bundles/2/sign", body)
			So(status, ShouldEqual, 200)
		}
		So(raw, ShouldContainSubstring, `"state":"in force"`)
		for _, version := range []string{"2", "current", "newest"} {
			status, raw = call("GET", "/v1/bundles/"+version+"/body", nil)
			So([]any{status, raw}, ShouldResemble, []any{200, text})
		}
		status, raw = call("GET", "/v1/bundles/1/diff/2", nil)
		So([]any{status, raw}, ShouldResemble, []any{200,
			`{"from":1,"to":2,"changes":[{"path":"backoff","from":"{\"min\":\"200ms\",\"max\":\"30s\"}"}]}` + "\n"})
		for path, want := range map[string]int{
			"/v1/bundles/9":       404,
			"/v1/bundles/x":       422,
			"/v1/bundles?limit=0": 422,
			"/v1/zones":           200,
			"/v1/bundles":         200,
		} {
			status, _ = call("GET", path, nil)
			So(fmt.Sprint(path, status), ShouldEqual, fmt.Sprint(path, want))
		}
		status, _ = call("POST", "/v1/zones/z1/evacuate", []byte(`{"order":"z"}`))
		So(status, ShouldEqual, 403)
		status, raw = call("GET", "/v1/rollout", nil)
		var rollout Rollout
		So(json.Unmarshal([]byte(raw), &rollout), ShouldBeNil)
		So([]any{
			status, rollout.Version, rollout.Nodes[0].Current, rollout.Nodes[1].Current, rollout.Unresponsive,
		}, ShouldResemble,
			[]any{200, uint64(2), true, false, []string{"c2"}})
	})
}
