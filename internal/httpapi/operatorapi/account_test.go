package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// counter is a served store with the operator ada.
type counter struct {
	*fakeStore
	addr string
	key  signature.Key
}

func (c *counter) call(method, path string, in any) (int, string) {
	body, err := json.Marshal(in)
	So(err, ShouldBeNil)
	req, err := http.NewRequest(method, "http://"+c.addr+path, bytes.NewReader(body))
	So(err, ShouldBeNil)
	res, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	So(err, ShouldBeNil)
	return res.StatusCode, string(raw)
}

func (c *counter) topUp(name, key string, amount int64) (int, string) {
	return c.call("POST", "/v1/accounts/"+name+"/top-up", internalapi.TopUpCall{Key: key, Amount: amount, By: "ada",
		Sig: c.key.Sign(signature.AccountTopUp(key, name, amount))})
}

func (c *counter) order(cmd command.Command) {
	_, err := c.ProposeOrForward(context.Background(), cmd)
	So(err, ShouldBeNil)
}

func TestAccounts(t *testing.T) {
	Convey("given a served store that knows operators", t, func() {
		key, err := signature.New("ada")
		So(err, ShouldBeNil)
		other, err := signature.New("ben")
		So(err, ShouldBeNil)
		d := &fakeStore{state.New()}
		srv := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		Serve(srv, d, func(id string) string { return id }, func() []membership.MemberStatus { return nil })
		So(srv.Start(), ShouldBeNil)
		defer func() { _ = srv.Stop(time.Second) }()
		c := &counter{d, srv.Addr(), key}
		c.order(&command.SetOperators{Operators: map[string]string{"ada": key.Public(), "ben": other.Public()}})
		create := func(order, name string) (int, string) {
			return c.call("POST", "/v1/accounts/"+name+"/create", internalapi.AccountCreateCall{Order: order, By: "ada",
				Sig: key.Sign(signature.AccountCreate(order, name, 0))})
		}
		status, raw := c.call("GET", "/v1/accounts", nil)
		So(fmt.Sprint(status, raw), ShouldEqual, `200{"accounts":[]}`+"\n")
		status, _ = create("o1", "acme")
		So(status, ShouldEqual, 200)
		Convey("a top-up counts once and is answered alike; what is wrong is refused by its kind", func() {
			status, first := c.topUp("acme", "k1", 300)
			So(status, ShouldEqual, 200)
			_, again := c.topUp("acme", "k1", 300)
			So(again, ShouldEqual, first)
			status, _ = c.topUp("acme", "k1", 301)
			So(status, ShouldEqual, 409)
			status, _ = c.topUp("other", "k1", 300)
			So(status, ShouldEqual, 404)
			status, _ = c.topUp("acme", "", 300)
			So(status, ShouldEqual, 422)
			status, _ = c.topUp("acme", "k2", -5)
			So(status, ShouldEqual, 422)
			status, _ = c.call("POST", "/v1/accounts/acme/top-up", internalapi.TopUpCall{Key: "k3", Amount: 9})
			So(status, ShouldEqual, 403)
			status, _ = c.call("POST", "/v1/accounts/acme/top-up", "no object")
			So(status, ShouldEqual, 400)
			status, _ = create("o2", "acme")
			So(status, ShouldEqual, 409)
			status, raw = c.call("GET", "/v1/accounts/acme", nil)
			var v internalapi.AccountView
			So(json.Unmarshal([]byte(raw), &v), ShouldBeNil)
			So([]any{status, v.Balance, v.ToppedUp, v.Draws, v.Warning}, ShouldResemble, []any{200, int64(300), int64(300), false, ""})
		})
		Convey("the ledger is paged and exported", func() {
			for i := range 5 {
				c.topUp("acme", fmt.Sprint("k", i), 10)
			}
			_, raw := c.call("GET", "/v1/accounts/acme/ledger?after=1&limit=2", nil)
			var l internalapi.LedgerAnswer
			So(json.Unmarshal([]byte(raw), &l), ShouldBeNil)
			So([]any{l.Entries[0].Number, len(l.Entries), l.Head.ToppedUp}, ShouldResemble, []any{uint64(2), 2, int64(50)})
			status, raw := c.call("GET", "/v1/accounts/acme/export", nil)
			So(status, ShouldEqual, 200)
			So(strings.Count(raw, "top-up"), ShouldEqual, 5)
			for path, want := range map[string]int{"/v1/accounts/none": 404, "/v1/accounts/none/ledger": 404, "/v1/accounts/none/export": 404,
				"/v1/accounts/acme/ledger?limit=0": 422, "/v1/accounts/acme/ledger?after=x": 422} {
				status, _ := c.call("GET", path, nil)
				So(fmt.Sprint(path, status), ShouldEqual, fmt.Sprint(path, want))
			}
		})
		Convey("a job says what it waits for, and the account warns before it is exhausted and when it is", func() {
			c.topUp("acme", "k", 250)
			d.st.Bundle.SetParties(map[string]state.Party{"acme": {Teams: []string{"a"}, Price: account.Price{Core: 10}, Reserve: 10 * time.Second,
				Warn: 10 * time.Second}})
			c.order(&command.GrantRole{Role: "sched", Holder: "d"})
			epoch := d.st.Roles["sched"].Epoch
			c.order(&command.Announce{Worker: state.Worker{Name: "m", Addr: "m"}})
			for i := range 3 {
				c.order(&command.Submit{Spec: state.Spec{Key: fmt.Sprint("j", i), Team: "a", Queue: "default",
					Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}}, Digest: fmt.Sprint(i), Bound: 9})
			}
			plan := func(keys ...string) {
				p := &command.Plan{Epoch: epoch, BundleVersion: 1, Seq: 3, Workers: []state.Worker{{Name: "m", Incarnation: "b", Zone: "z", Cores: 9}}}
				for _, k := range keys {
					p.Starts = append(p.Starts, command.Start{Ref: state.TaskRef{Job: k}, Worker: "m", Incarnation: "b"})
				}
				c.order(p)
			}
			plan("j0")
			v, err := query.Account(d.st, "acme")
			So(err, ShouldBeNil)
			So([]any{v.Runs, v.ExhaustedIn, v.Warning}, ShouldResemble, []any{1, 15 * time.Second, ""})
			plan("j1", "j2")
			v, err = query.Account(d.st, "acme")
			So(err, ShouldBeNil)
			So([]any{v.Runs, v.Rate, v.ExhaustedIn, v.Waiting, v.Warning}, ShouldResemble, []any{2, account.Rate(20_000), 2500 * time.Millisecond, 1,
				"dry: 1 jobs wait for a top-up"})
			job, err := query.Job(d.st, "j2")
			So(err, ShouldBeNil)
			So(job.WaitReason, ShouldEqual, "party acme has run dry: its balance is 50, a start needs 100; the job goes on by itself after a top-up")
			job, err = query.Job(d.st, "j0")
			So(err, ShouldBeNil)
			So(job.WaitReason, ShouldEqual, "")
			c.order(&command.Submit{Spec: state.Spec{Key: "cheap", Team: "a", Queue: "default",
				Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1}}}, Digest: "cheap", Bound: 9})
			c.order(&command.Plan{Epoch: epoch, Seq: 4})
			job, err = query.Job(d.st, "cheap") // a task without cores costs nothing
			So(err, ShouldBeNil)
			So(job.WaitReason, ShouldEqual, "party acme is dry for a job that goes before this one; the job goes on by itself after a top-up")
			c.order(&command.Cancel{Key: "j2"})
			job, err = query.Job(d.st, "cheap")
			So(err, ShouldBeNil)
			So(job.WaitReason, ShouldEqual, "")
			v, err = query.Account(d.st, "acme")
			So(err, ShouldBeNil)
			So(v.Warning, ShouldStartWith, "dry in about 3s")
		})
	})
}
