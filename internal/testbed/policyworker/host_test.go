package policyworker

import (
	"context"
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/journal"
)

func TestHost(t *testing.T) {
	open := func(change func(*Settings)) (*Host, string) {
		dir, settings := t.TempDir(), Defaults()
		settings.Name, settings.Zone, settings.Journal = "m", "z1", filepath.Join(dir, "journal", "{name}.jsonl")
		change(&settings)
		h, err := Open(settings, clock.Real{}, log.NewNopLogger())
		So(err, ShouldBeNil)
		return h, dir
	}
	caller := rpc.NewClient(rpc.ClientOptions{})
	defer caller.Close()
	ask := func(h *Host, c internalapi.LeaseCall) (internalapi.LeaseAnswer, error) {
		return rpc.Call(context.Background(), caller, h.Addr(), internalapi.RenewLease, c, time.Minute)
	}
	start := func(runID uint64) []internalapi.StartOrder {
		return []internalapi.StartOrder{{RunID: runID, Job: "j", Step: "s", Type: "t", Cores: 1, Run: json.RawMessage(`{}`),
			StartBy: time.Hour, LeaseUntil: time.Hour}}
	}
	events := func(dir string) (journaled []string) {
		for line, err := range journal.Lines(dir) {
			So(err, ShouldBeNil)
			e, err := line.Entry()
			So(err, ShouldBeNil)
			journaled = append(journaled, e.Worker+" "+e.Event)
		}
		return journaled
	}

	Convey("Workers that share a process and an address announce, run, drain and leave one by one", t, func() {
		announced := make(chan internalapi.AnnounceWorkerCall, 8)
		dataPlane := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		announce := func(_ context.Context, c internalapi.AnnounceWorkerCall) (internalapi.AnnounceWorkerAnswer, error) {
			announced <- c
			return internalapi.AnnounceWorkerAnswer{Interval: time.Hour}, nil
		}
		rpc.Handle(dataPlane, internalapi.AnnounceWorker, announce)
		So(dataPlane.Start(), ShouldBeNil)
		defer func() { So(dataPlane.Stop(time.Minute), ShouldBeNil) }()
		h, dir := open(func(s *Settings) { s.Count, s.DataPlanes = 2, []string{dataPlane.Addr()} })
		group, stopped := routine.New(context.Background()), make(chan error, 1)
		defer group.Stop()
		group.Go(func(ctx context.Context) { stopped <- h.Run(ctx) })
		incarnations := map[string]string{}
		for range 2 {
			c := <-announced
			So(c.Addr, ShouldEqual, h.Addr())
			incarnations[c.Name] = c.Incarnation
		}
		So(incarnations, ShouldHaveLength, 2)
		a, err := ask(h, internalapi.LeaseCall{Call: 3, Epoch: 4, Worker: "m-1",
			Incarnation: incarnations["m-1"], Starts: start(7)})
		So(err, ShouldBeNil)
		So([]any{a.Call, a.Epoch, a.Incarnation, a.Seen}, ShouldResemble,
			[]any{uint64(3), uint64(4), incarnations["m-1"], uint64(7)})
		So(a.Ended, ShouldResemble, []internalapi.RunEnd{{RunID: 7, Outcome: internalapi.OutcomeOK}})
		_, err = ask(h, internalapi.LeaseCall{Worker: "other"})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		_, err = ask(h, internalapi.LeaseCall{Worker: "m-1", Epoch: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		h.Drain(true, true)
		_, err = ask(h, internalapi.LeaseCall{Worker: "m-1", Epoch: 4, Acked: []uint64{7}})
		So(err, ShouldBeNil)
		So(<-stopped, ShouldBeNil)
		So(events(dir), ShouldResemble, []string{"m-0 boot", "m-0 drain",
			"m-1 boot", "m-1 order", "m-1 start", "m-1 end", "m-1 drain"})
	})

	Convey("A call whose answer is lost is carried out before the connection is closed, also after a delay", t, func() {
		h, dir := open(func(s *Settings) { s.Kind, s.LossProbability, s.MaxDelay = KindObey, 1, Duration(time.Millisecond) })
		defer h.Close()
		_, err := ask(h, internalapi.LeaseCall{Worker: "m", Starts: start(7)})
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		So(rpc.IsUnsent(err), ShouldBeFalse)
		So(events(dir), ShouldResemble, []string{"m boot", "m order", "m start", "m end"})
	})

	Convey("All validation errors of the settings are reported at once", t, func() {
		err := Settings{Addr: "x", Kind: "y"}.Check()
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
		for _, field := range []string{"name", "addr", "kind", "zone", "journal", "count", "slow"} {
			So(err.Error(), ShouldContainSubstring, "settings: "+field+": ")
		}
	})
}
