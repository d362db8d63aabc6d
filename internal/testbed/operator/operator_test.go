package operator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/testclock"
)

// newTestSession returns a session whose only control plane answers the nth call with the nth of answers, and every
// later call with the last one.
func newTestSession(dir string, answers ...any) *session {
	var calls atomic.Int32
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	server.Route("/", func(w http.ResponseWriter, _ *http.Request) {
		answer := answers[min(int(calls.Add(1)), len(answers))-1]
		if err, isError := answer.(error); isError {
			rpc.WriteError(w, err)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, answer)
	})
	So(server.Start(), ShouldBeNil)
	writer, err := journal.Open(filepath.Join(dir, "journal", "operator-bundles-t.jsonl"))
	So(err, ShouldBeNil)
	Reset(func() {
		So(writer.Close(), ShouldBeNil)
		So(server.Stop(time.Minute), ShouldBeNil)
	})
	return &session{nodes: fleet.Nodes{ControlPlanes: []fleet.Node{{Name: "c1", Addr: server.Addr()}}},
		caller: fleet.NewCaller(1), clock: &testclock.Elapsing{}, callRng: rand.New(rand.NewPCG(1, 1)), writer: writer,
		counts: Report{Refused: map[string]int{}}}
}

// entries returns the event and the reason of each line of the journal.
func entries(dir string) (lines []string) {
	for line, err := range journal.Lines(dir) {
		So(err, ShouldBeNil)
		var e Entry
		So(json.Unmarshal(line.Raw, &e), ShouldBeNil)
		lines = append(lines, e.Event+" "+e.Reason)
	}
	return lines
}

func TestOrder(t *testing.T) {
	type done struct{ Version uint64 }
	order := func(s *session) (done, bool) {
		var result done
		_, isDone := s.order(context.Background(), "/v1/bundles", nil, Entry{Event: Put}, &result,
			func(e *Entry) { e.Version = result.Version })
		return result, isDone
	}
	Convey("An order is sent until it gets a final answer, and journaled once", t, func() {
		dir := t.TempDir()
		s := newTestSession(dir, errs.New(errs.Unavailable, "on purpose"), done{Version: 3})
		result, isDone := order(s)
		So([]any{result.Version, isDone, s.counts.Retries}, ShouldResemble, []any{uint64(3), true, 1})
		So(entries(dir), ShouldResemble, []string{"put "})
	})
	Convey("A refusal is journaled with its kind", t, func() {
		dir := t.TempDir()
		s := newTestSession(dir, errs.New(errs.Conflict, "on purpose"))
		_, isDone := order(s)
		So(isDone, ShouldBeFalse)
		So(s.counts.Refused, ShouldResemble, map[string]int{"conflict": 1})
		So(entries(dir), ShouldResemble, []string{"put conflict"})
	})
	Convey("An order that is sent again must get the same answer", t, func() {
		dir := t.TempDir()
		s := newTestSession(dir, done{Version: 3}, done{Version: 4})
		s.RepeatProbability = 1
		_, isDone := order(s)
		So([]any{isDone, s.counts.Repeats, s.counts.RepeatsDiffer}, ShouldResemble, []any{true, 1, 1})
		So(entries(dir), ShouldResemble, []string{"put ", "put "})
	})
}

func TestRolloutReached(t *testing.T) {
	now := time.Unix(100, 0)
	acknowledged := time.Unix(90, 0).UnixNano()
	node := func(version uint64, since, heard int64) nodeVersion {
		return nodeVersion{Version: version, Since: time.Unix(since, 0), Heard: time.Unix(heard, 0)}
	}
	Convey("A rollout is complete when every node that reported recently has the version", t, func() {
		for _, c := range []struct {
			nodes      []nodeVersion
			everywhere bool
			last       time.Duration
		}{
			{nil, false, 0},
			{[]nodeVersion{node(2, 91, 100), node(2, 94, 100)}, true, 4 * time.Second},
			{[]nodeVersion{node(2, 91, 100), node(1, 80, 99)}, false, time.Second},
			{[]nodeVersion{node(2, 91, 100), node(1, 80, 97)}, true, time.Second}, // the second node is down
		} {
			r := rollout{Nodes: c.nodes}
			everywhere, last := r.reached(2, acknowledged, now)
			So([]any{everywhere, last}, ShouldResemble, []any{c.everywhere, c.last})
		}
	})
}
