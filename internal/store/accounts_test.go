package store

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

func TestAccountWarnings_loggedOncePerWarning(t *testing.T) {
	Convey("The leader logs one warning for an account until the account has recovered", t, func() {
		var lines bytes.Buffer
		s := &Store{live: state.New(), logger: log.NewLogfmtLogger(&lines)}
		at := time.Unix(1_700_000_000, 0).UTC()
		table := account.NewTable()
		So(table.Create("acme", 0), ShouldBeNil)
		_, err := table.TopUp("acme", "k1", 200, at)
		So(err, ShouldBeNil)
		So(table.Reserve(account.Charge{Run: "r", Account: "acme", Rate: 1000, Window: 100 * time.Second}, at), ShouldBeNil)
		s.live.SetAccounts(table)
		warned := accountWarnings{}
		warnings := func() int {
			warned.logNew(s)
			return strings.Count(lines.String(), "account exhausted or running low")
		}
		So(warnings(), ShouldEqual, 0) // this node does not lead
		s.leadership.term = 1
		So(warnings(), ShouldEqual, 1)
		So(warnings(), ShouldEqual, 1)
		_, err = table.TopUp("acme", "k2", 10_000, at)
		So(err, ShouldBeNil)
		So(warnings(), ShouldEqual, 1)
		table.Renew(at.Add(9_900 * time.Second))
		So(warnings(), ShouldEqual, 2)
	})
	Convey("Each account has its gauges, and a forecast only while a run draws on it", t, func() {
		views := []internalapi.AccountView{
			{Name: "a", Balance: 1, IsDrawing: true, ExhaustedIn: time.Second, Warning: "dry"},
			{Name: "b"},
		}
		to := make(chan prometheus.Metric, 100)
		collectAccounts(views, to)
		So(len(to), ShouldEqual, 8+7)
	})
}
