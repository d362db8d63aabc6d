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

// accountsServer serves a store with the operators ada and ben and the account "acme".
type accountsServer struct {
	*fakeStore
	addr string
	key  signature.Key // of ada
}

// newAccountsServer starts an accountsServer on a new store; it is stopped when the test ends.
func newAccountsServer(t *testing.T) *accountsServer {
	t.Helper()
	key, err := signature.New("ada")
	So(err, ShouldBeNil)
	other, err := signature.New("ben")
	So(err, ShouldBeNil)
	store := &fakeStore{state.New()}
	srv := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	Register(srv, store, func(id string) string { return id }, func() []membership.MemberStatus { return nil })
	So(srv.Start(), ShouldBeNil)
	t.Cleanup(func() { _ = srv.Stop(time.Second) })
	c := &accountsServer{store, srv.Addr(), key}
	c.order(&command.SetOperators{Operators: map[string]string{"ada": key.Public(), "ben": other.Public()}})
	status, raw := c.call("GET", "/v1/accounts", nil)
	So(fmt.Sprint(status, raw), ShouldEqual, `200{"accounts":[]}`+"\n")
	status, _ = c.create("o1", "acme")
	So(status, ShouldEqual, 200)
	return c
}

func (c *accountsServer) create(order, name string) (int, string) {
	return c.call("POST", "/v1/accounts/"+name+"/create", internalapi.AccountCreateCall{Order: order, By: "ada",
		Sig: c.key.Sign(signature.AccountCreate(order, name, 0))})
}

// waitReason returns why a job waits, or "" if it does not wait.
func (c *accountsServer) waitReason(key string) string {
	job, err := query.Job(c.st, key)
	So(err, ShouldBeNil)
	return job.WaitReason
}

// view returns the account "acme".
func (c *accountsServer) view() internalapi.AccountView {
	view, err := query.Account(c.st, "acme")
	So(err, ShouldBeNil)
	return view
}

// call sends in as JSON and returns the status and the body of the response.
func (c *accountsServer) call(method, path string, in any) (int, string) {
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

func (c *accountsServer) topUp(name, key string, amount int64) (int, string) {
	return c.call("POST", "/v1/accounts/"+name+"/top-up", internalapi.TopUpCall{Key: key, Amount: amount, By: "ada",
		Sig: c.key.Sign(signature.AccountTopUp(key, name, amount))})
}

// order commits a command in the store directly, without the API.
func (c *accountsServer) order(cmd command.Command) {
	_, err := c.ProposeOrForward(context.Background(), cmd)
	So(err, ShouldBeNil)
}

func TestAccounts_topUp(t *testing.T) {
	Convey("A top-up that is sent again is applied once; each kind of error has its status", t, func() {
		c := newAccountsServer(t)
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
		status, _ = c.create("o2", "acme")
		So(status, ShouldEqual, 409)
		status, raw := c.call("GET", "/v1/accounts/acme", nil)
		var view internalapi.AccountView
		So(json.Unmarshal([]byte(raw), &view), ShouldBeNil)
		So([]any{status, view.Balance, view.ToppedUp, view.IsDrawing, view.Warning}, ShouldResemble,
			[]any{200, int64(300), int64(300), false, ""})
	})
}

func TestAccounts_ledger(t *testing.T) {
	Convey("The ledger is paged and exported; unknown accounts and invalid pages are errors", t, func() {
		c := newAccountsServer(t)
		for i := range 5 {
			c.topUp("acme", fmt.Sprint("k", i), 10)
		}
		_, raw := c.call("GET", "/v1/accounts/acme/ledger?after=1&limit=2", nil)
		var ledger internalapi.LedgerAnswer
		So(json.Unmarshal([]byte(raw), &ledger), ShouldBeNil)
		So([]any{ledger.Entries[0].Number, len(ledger.Entries), ledger.Head.ToppedUp}, ShouldResemble,
			[]any{uint64(2), 2, int64(50)})
		status, raw := c.call("GET", "/v1/accounts/acme/export", nil)
		So(status, ShouldEqual, 200)
		So(strings.Count(raw, "top-up"), ShouldEqual, 5)
		for path, want := range map[string]int{
			"/v1/accounts/none":                404,
			"/v1/accounts/none/ledger":         404,
			"/v1/accounts/none/export":         404,
			"/v1/accounts/acme/ledger?limit=0": 422,
			"/v1/accounts/acme/ledger?after=x": 422,
		} {
			status, _ := c.call("GET", path, nil)
			So(fmt.Sprint(path, status), ShouldEqual, fmt.Sprint(path, want))
		}
	})
}

func TestAccounts_exhausted(t *testing.T) {
	Convey("A job reports why it waits, and the account has a warning before and after it is exhausted", t, func() {
		c := newAccountsServer(t)
		c.topUp("acme", "k", 250)
		acme := state.Party{Teams: []string{"a"}, Price: account.Price{Core: 10}, Reserve: 10 * time.Second,
			Warn: 10 * time.Second}
		c.st.Bundle.SetParties(map[string]state.Party{"acme": acme})
		c.order(&command.GrantRole{Role: "sched", Holder: "d"})
		epoch := c.st.Roles["sched"].Epoch
		c.order(&command.Announce{Worker: state.Worker{Name: "m", Addr: "m"}})
		for i := range 3 {
			c.order(&command.Submit{Spec: state.Spec{Key: fmt.Sprint("j", i), Team: "a", Queue: "default",
				Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}}, Digest: fmt.Sprint(i), Bound: 9})
		}
		start := func(keys ...string) {
			plan := &command.Plan{Epoch: epoch, BundleVersion: 1, Seq: 3,
				Workers: []state.Worker{{Name: "m", Incarnation: "b", Zone: "z", Cores: 9}}}
			for _, key := range keys {
				start := command.Start{Ref: state.TaskRef{Job: key}, Worker: "m", Incarnation: "b"}
				plan.Starts = append(plan.Starts, start)
			}
			c.order(plan)
		}
		start("j0")
		view := c.view()
		So([]any{view.Runs, view.ExhaustedIn, view.Warning}, ShouldResemble, []any{1, 15 * time.Second, ""})
		start("j1", "j2")
		view = c.view()
		So([]any{view.Runs, view.Rate, view.ExhaustedIn, view.Waiting, view.Warning}, ShouldResemble,
			[]any{2, account.Rate(20_000), 2500 * time.Millisecond, 1, "balance exhausted: 1 jobs wait for a top-up"})
		So(c.waitReason("j2"), ShouldEqual,
			"the balance of party acme is insufficient: it is 50, a start needs 100; "+
				"the job continues automatically after a top-up")
		So(c.waitReason("j0"), ShouldEqual, "")
		// A task without cores costs nothing.
		c.order(&command.Submit{Spec: state.Spec{Key: "cheap", Team: "a", Queue: "default",
			Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1}}}, Digest: "cheap", Bound: 9})
		c.order(&command.Plan{Epoch: epoch, Seq: 4})
		So(c.waitReason("cheap"), ShouldEqual,
			"the balance of party acme is reserved for a job with precedence; "+
				"the job continues automatically after a top-up")
		c.order(&command.Cancel{Key: "j2"})
		So(c.waitReason("cheap"), ShouldEqual, "")
		view = c.view()
		So(view.Warning, ShouldStartWith, "balance exhausted in about 3s")
	})
}
