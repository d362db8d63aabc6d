package account

import (
	"bytes"
	"fmt"
	"math/big"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/errs"
)

// start is the time at which the tests begin.
var start = time.Unix(1_700_000_000, 0).UTC()

// after returns the time ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// funded returns a table with one account, acme, topped up with amount.
func funded(amount int64) *Table {
	table := NewTable()
	So(table.Create("acme", 0), ShouldBeNil)
	_, err := table.TopUp("acme", "first", amount, start)
	So(err, ShouldBeNil)
	return table
}

// charge returns the charge of a run that costs 10 units a second, with a window of 10 s that costs 100 units.
func charge(run string) Charge {
	return Charge{Run: run, Account: "acme", Rate: 10_000, Window: 10 * time.Second}
}

// sums returns Balance, Reserved and Spent of acme.
func sums(table *Table) [3]int64 {
	a := table.Accounts["acme"]
	return [3]int64{a.Balance, a.Reserved, a.Spent}
}

func TestReservations(t *testing.T) {
	Convey("A run reserves its window and pays for its run time, rounded up once", t, func() {
		table := funded(250)
		So(table.Reserve(charge("1"), start), ShouldBeNil)
		So(sums(table), ShouldEqual, [3]int64{150, 100, 0})
		So(errs.KindOf(table.Reserve(charge("1"), start)), ShouldEqual, errs.Conflict)
		So(table.Reserve(charge("2"), start), ShouldBeNil)
		err := table.Reserve(charge("3"), start)
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(err.Error(), ShouldContainSubstring, "has a balance of 50, a start reserves 100")
		table.Debit("1", after(1201)) // 12.01 units
		So(sums(table), ShouldEqual, [3]int64{137, 100, 13})
		So(table.Reserve(charge("3"), after(1300)), ShouldBeNil)
		table.Refund("2")
		table.Debit("2", after(9000)) // ignored: its reservation was released
		table.Refund("nobody")
		So(sums(table), ShouldEqual, [3]int64{137, 100, 13})
		So(table.Check(), ShouldBeNil)
	})
	Convey("When a window ends it is drawn and the next one reserved, even if the balance becomes negative", t, func() {
		table := funded(150)
		So(table.Reserve(charge("1"), start), ShouldBeNil)
		table.Renew(after(9_999))
		So(sums(table), ShouldEqual, [3]int64{50, 100, 0})
		table.Renew(after(10_000))
		So(sums(table), ShouldEqual, [3]int64{-50, 100, 100})
		table.Renew(after(35_000)) // two windows at once
		So(sums(table), ShouldEqual, [3]int64{-250, 100, 300})
		So(table.Accounts["acme"].Ledger.Head.Number, ShouldEqual, 3)
		table.Refund("1") // lost: amounts already drawn are not refunded
		So(sums(table), ShouldEqual, [3]int64{-150, 0, 300})
		So(table.Covers("acme", 0), ShouldBeFalse)
		_, err := table.TopUp("acme", "second", 250, after(40_000))
		So(err, ShouldBeNil)
		So(table.Covers("acme", 100), ShouldBeTrue)
		So(table.Covers("acme", 101), ShouldBeFalse)
		So(table.Check(), ShouldBeNil)
	})
	Convey("A granted charge is reserved whatever the balance is, but an unknown account is refused", t, func() {
		table := funded(50)
		granted := charge("1")
		granted.Granted = true
		So(table.Reserve(granted, start), ShouldBeNil)
		So(sums(table), ShouldEqual, [3]int64{-50, 100, 0})
		granted.Account = "other"
		So(errs.KindOf(table.Reserve(granted, start)), ShouldEqual, errs.Unknown)
		var none *Table
		So(none.Covers("acme", 0), ShouldBeFalse)
		So(none.Check(), ShouldBeNil)
		none.Debit("1", start)
		none.Renew(start)
	})
	Convey("With a credit, starts may reserve until the balance is the negative credit", t, func() {
		table := NewTable()
		So(table.Create("acme", 100), ShouldBeNil)
		So(table.Reserve(charge("1"), start), ShouldBeNil)
		So(errs.KindOf(table.Reserve(charge("2"), start)), ShouldEqual, errs.Conflict)
		So(errs.KindOf(table.Create("acme", 0)), ShouldEqual, errs.Conflict)
		So(errs.KindOf(table.Create("", 0)), ShouldEqual, errs.Invalid)
		So(errs.KindOf(table.Create(strings.Repeat("x", maxNameBytes+1), 0)), ShouldEqual, errs.Invalid)
		So(errs.KindOf(table.Create("x", -1)), ShouldEqual, errs.Invalid)
	})
	Convey("The forecast assumes the current rate", t, func() {
		table := funded(300)
		_, hasForecast := table.Accounts["acme"].ExhaustedIn()
		So(hasForecast, ShouldBeFalse)
		So(table.Reserve(charge("1"), start), ShouldBeNil)
		exhaustedIn, hasForecast := table.Accounts["acme"].ExhaustedIn()
		So([]any{exhaustedIn, hasForecast}, ShouldResemble, []any{20 * time.Second, true})
	})
}

func TestTopUp(t *testing.T) {
	Convey("A top-up is applied once for each key, and a repeated call returns the same answer", t, func() {
		table := funded(100)
		first, err := table.TopUp("acme", "k", 7, after(1))
		So(err, ShouldBeNil)
		So(first.Balance, ShouldEqual, 107)
		So(table.Reserve(charge("1"), after(2)), ShouldBeNil)
		again, err := table.TopUp("acme", "k", 7, after(3))
		So(err, ShouldBeNil)
		So(again, ShouldResemble, first)
		So(table.Accounts["acme"].ToppedUp, ShouldEqual, 107)
		for _, bad := range []struct {
			name, key string
			amount    int64
			kind      errs.Kind
		}{
			{"acme", "k", 8, errs.Conflict},
			{"other", "k", 7, errs.Unknown},
			{"acme", "", 7, errs.Invalid},
			{"acme", "l", 0, errs.Invalid},
			{"acme", "l", -1, errs.Invalid},
			{"acme", "l", MaxAmount - 106, errs.Invalid},
		} {
			_, err := table.TopUp(bad.name, bad.key, bad.amount, after(4))
			So(errs.KindOf(err), ShouldEqual, bad.kind)
		}
		So(table.Accounts["acme"].ToppedUp, ShouldEqual, 107)
	})
	Convey("The newest maxTopUpKeys keys are remembered", t, func() {
		table := funded(1)
		for i := range maxTopUpKeys {
			_, err := table.TopUp("acme", fmt.Sprint(i), 1, start)
			So(err, ShouldBeNil)
		}
		So(len(table.Accounts["acme"].TopUps), ShouldEqual, maxTopUpKeys)
		_, known := table.Accounts["acme"].TopUps["first"]
		So(known, ShouldBeFalse)
		So(table.Check(), ShouldBeNil)
	})
}

func TestLedger(t *testing.T) {
	Convey("Given an account with many ledger entries", t, func() {
		table := funded(1)
		for i := range 3 * keepEntries {
			_, err := table.TopUp("acme", fmt.Sprint(i), 2, after(i))
			So(err, ShouldBeNil)
		}
		l := &table.Accounts["acme"].Ledger
		Convey("the oldest are folded into the base, and the ledger still adds up", func() {
			So(len(l.Entries), ShouldBeBetween, keepEntries-1, 2*keepEntries)
			So(l.Head.Number, ShouldEqual, 3*keepEntries+1)
			So(l.Base.Number+uint64(len(l.Entries)), ShouldEqual, l.Head.Number)
			So(l.Head.ToppedUp, ShouldEqual, 6*keepEntries+1)
			So(l.Verify(), ShouldBeNil)
		})
		Convey("Verify detects an entry that was changed, left out or duplicated", func() {
			for name, change := range map[string]func(){
				"amount": func() { l.Entries[3].Amount++ },
				"two amounts, the same sum": func() {
					l.Entries[3].Amount++
					l.Entries[4].Amount--
				},
				"key":        func() { l.Entries[3].Key = "x" },
				"time":       func() { l.Entries[3].At = after(-1) },
				"left out":   func() { l.Entries = append(l.Entries[:3:3], l.Entries[4:]...) },
				"duplicated": func() { l.Entries = append(l.Entries[:4:4], l.Entries[3:]...) },
				"base":       func() { l.Base.Spent++ },
				"kind":       func() { l.Entries[3].Kind = "gift" },
			} {
				before := *l
				before.Entries = append([]Entry(nil), l.Entries...)
				change()
				So(fmt.Sprint(name, errs.KindOf(l.Verify())), ShouldEqual, fmt.Sprint(name, errs.Damaged))
				*l = before
			}
			So(l.Verify(), ShouldBeNil)
		})
		Convey("the export has a row for each entry, the base and the head", func() {
			var export bytes.Buffer
			So(l.WriteCSV(&export), ShouldBeNil)
			rows := strings.Split(strings.TrimSpace(export.String()), "\n")
			So(len(rows), ShouldEqual, len(l.Entries)+3)
			So(rows[1], ShouldContainSubstring, ",base,")
			last := strings.Split(rows[len(rows)-2], ",")
			head := strings.Split(rows[len(rows)-1], ",")
			So(head[len(head)-3:], ShouldResemble, last[len(last)-3:])
		})
		Convey("Since returns the entries above a number", func() {
			entries := l.Since(l.Head.Number-3, 2)
			So([]uint64{entries[0].Number, entries[1].Number}, ShouldResemble,
				[]uint64{l.Head.Number - 2, l.Head.Number - 1})
			So(l.Since(l.Head.Number, 5), ShouldBeEmpty)
			So(l.Since(0, 1)[0].Number, ShouldEqual, l.Base.Number+1)
		})
	})
}

func TestCost(t *testing.T) {
	Convey("A cost equals the result of arbitrary-precision arithmetic, rounded up", t, func() {
		So(Price{Core: 3, GPU: 50, Memory: 2}.Rate(Needs{MilliCPU: 1500, MemoryMB: 500, GPUs: 1}), ShouldEqual,
			4500+50_000+1000)
		So(Rate(MaxAmount).Cost(1<<62), ShouldEqual, MaxAmount)
		So(Rate(5).Cost(-time.Second), ShouldEqual, 0)
		rapid.Check(t, func(t *rapid.T) {
			rate := rapid.Int64Range(0, 1<<50).Draw(t, "rate")
			duration := rapid.Int64Range(0, 1<<55).Draw(t, "duration")
			want := new(big.Int).Mul(big.NewInt(rate), big.NewInt(duration))
			want.Add(want, big.NewInt(1e12-1))
			want.Div(want, big.NewInt(1e12))
			if !want.IsInt64() || want.Int64() > MaxAmount {
				want = big.NewInt(MaxAmount)
			}
			if got := Rate(rate).Cost(time.Duration(duration)); got != want.Int64() {
				t.Fatalf("Cost returned %d, want %d", got, want)
			}
		})
	})
}

func BenchmarkRun(b *testing.B) {
	table := NewTable()
	must(table.Create("acme", 0))
	if _, err := table.TopUp("acme", "k", MaxAmount, start); err != nil {
		b.Fatal(err)
	}
	for i := range b.N {
		c := charge(fmt.Sprint(i))
		must(table.Reserve(c, start))
		table.Renew(start)
		table.Debit(c.Run, after(1200))
	}
}
