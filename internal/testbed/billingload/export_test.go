package billingload

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

func TestSumExport(t *testing.T) {
	Convey("The entries of an export add up to its totals row; a changed export is rejected", t, func() {
		at := time.Unix(1_700_000_000, 0).UTC()
		accounts := account.NewTable()
		So(accounts.Create("acme", 0), ShouldBeNil)
		for _, key := range []string{"k1", "k2"} {
			_, err := accounts.TopUp("acme", key, 100, at)
			So(err, ShouldBeNil)
		}
		charge := account.Charge{Run: "r1", Account: "acme", Rate: 1000, Window: 10 * time.Second}
		So(accounts.Reserve(charge, at), ShouldBeNil)
		accounts.Debit("r1", at.Add(3*time.Second))
		var out bytes.Buffer
		So(accounts.Accounts["acme"].Ledger.WriteCSV(&out), ShouldBeNil)
		sums, err := SumExport(out.Bytes())
		So(err, ShouldBeNil)
		So(sums, ShouldResemble, Sums{ToppedUp: 200, Spent: 3, TopUps: map[string]int64{"k1": 100, "k2": 100}, Entries: 3})
		text := out.String()
		lines := strings.SplitAfter(text, "\n")
		for change, changed := range map[string]string{
			"amount changed": strings.Replace(text, ",draw,r1,0,3,", ",draw,r1,0,4,", 1),
			"entry removed":  strings.Join(append(append([]string{}, lines[:2]...), lines[3:]...), ""),
			"doubled":        strings.Join(append(append([]string{}, lines[:3]...), lines[2:]...), ""),
			"not a number":   strings.Replace(text, ",draw,r1,0,3,", ",draw,r1,0,x,", 1),
			"header only":    lines[0],
		} {
			_, err := SumExport([]byte(changed))
			So(change+" "+string(errs.KindOf(err)), ShouldEqual, change+" "+string(errs.Damaged))
		}
	})
}
