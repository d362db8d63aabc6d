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

// start is when the tests' clocks begin.
var start = time.Unix(1_700_000_000, 0).UTC()

// after is the time so many milliseconds after the start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// funded returns a table with one account, "acme", of so many units.
func funded(amount int64) *Table {
	b := NewTable()
	So(b.Create("acme", 0), ShouldBeNil)
	_, err := b.TopUp("acme", "first", amount, start)
	So(err, ShouldBeNil)
	return b
}

// charge asks for a run of 10 units per second with a window of 10 s: 100 units.
func charge(run string) Charge {
	return Charge{Run: run, Account: "acme", Rate: 10_000, Window: 10 * time.Second}
}

// sums are balance, reserved and spent.
func sums(b *Table) [3]int64 {
	a := b.Accounts["acme"]
	return [3]int64{a.Balance, a.Reserved, a.Spent}
}

func TestReservations(t *testing.T) {
	Convey("A run reserves its window and pays its time, rounded up once", t, func() {
		b := funded(250)
		So(b.Reserve(charge("1"), start), ShouldBeNil)
		So(sums(b), ShouldEqual, [3]int64{150, 100, 0})
		So(errs.KindOf(b.Reserve(charge("1"), start)), ShouldEqual, errs.Conflict)
		So(b.Reserve(charge("2"), start), ShouldBeNil)
		err := b.Reserve(charge("3"), start)
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(err.Error(), ShouldContainSubstring, "has 50, a start reserves 100")
		b.Debit("1", after(1201)) // 12.01 units
		So(sums(b), ShouldEqual, [3]int64{137, 100, 13})
		So(b.Reserve(charge("3"), after(1300)), ShouldBeNil)
		b.Refund("2")
		b.Debit("2", after(9000)) // it is gone: nothing
		b.Refund("nobody")
		So(sums(b), ShouldEqual, [3]int64{137, 100, 13})
		So(b.Check(), ShouldBeNil)
	})
	Convey("A run that outlives its window has it drawn and the next one reserved, also below zero", t, func() {
		b := funded(150)
		So(b.Reserve(charge("1"), start), ShouldBeNil)
		b.Renew(after(9_999))
		So(sums(b), ShouldEqual, [3]int64{50, 100, 0})
		b.Renew(after(10_000))
		So(sums(b), ShouldEqual, [3]int64{-50, 100, 100})
		b.Renew(after(35_000)) // two windows at once
		So(sums(b), ShouldEqual, [3]int64{-250, 100, 300})
		So(b.Accounts["acme"].Ledger.Head.Number, ShouldEqual, 3)
		b.Refund("1") // lost: what was drawn stays drawn
		So(sums(b), ShouldEqual, [3]int64{-150, 0, 300})
		So(b.Covers("acme", 0), ShouldBeFalse)
		_, err := b.TopUp("acme", "second", 250, after(40_000))
		So(err, ShouldBeNil)
		So(b.Covers("acme", 100), ShouldBeTrue)
		So(b.Covers("acme", 101), ShouldBeFalse)
		So(b.Check(), ShouldBeNil)
	})
	Convey("The restart of a long-running task is reserved whatever the balance is; without an account nothing is", t, func() {
		b := funded(50)
		again := charge("1")
		again.Granted = true
		So(b.Reserve(again, start), ShouldBeNil)
		So(sums(b), ShouldEqual, [3]int64{-50, 100, 0})
		again.Account = "other"
		So(errs.KindOf(b.Reserve(again, start)), ShouldEqual, errs.Unknown)
		var none *Table
		So(none.Covers("acme", 0), ShouldBeFalse)
		So(none.Check(), ShouldBeNil)
		none.Debit("1", start)
		none.Renew(start)
	})
	Convey("A credit lets starts reserve so far below zero", t, func() {
		b := NewTable()
		So(b.Create("acme", 100), ShouldBeNil)
		So(b.Reserve(charge("1"), start), ShouldBeNil)
		So(errs.KindOf(b.Reserve(charge("2"), start)), ShouldEqual, errs.Conflict)
		So(errs.KindOf(b.Create("acme", 0)), ShouldEqual, errs.Conflict)
		So(errs.KindOf(b.Create("", 0)), ShouldEqual, errs.Invalid)
		So(errs.KindOf(b.Create(strings.Repeat("x", maxNameBytes+1), 0)), ShouldEqual, errs.Invalid)
		So(errs.KindOf(b.Create("x", -1)), ShouldEqual, errs.Invalid)
	})
	Convey("The forecast goes by what runs now", t, func() {
		b := funded(300)
		_, draws := b.Accounts["acme"].ExhaustedIn()
		So(draws, ShouldBeFalse)
		So(b.Reserve(charge("1"), start), ShouldBeNil)
		in, draws := b.Accounts["acme"].ExhaustedIn()
		So([]any{in, draws}, ShouldResemble, []any{20 * time.Second, true})
	})
}

func TestTopUp(t *testing.T) {
	Convey("A top-up counts once for each key, and its answer stays the same", t, func() {
		b := funded(100)
		first, err := b.TopUp("acme", "k", 7, after(1))
		So(err, ShouldBeNil)
		So(first.Balance, ShouldEqual, 107)
		So(b.Reserve(charge("1"), after(2)), ShouldBeNil)
		again, err := b.TopUp("acme", "k", 7, after(3))
		So(err, ShouldBeNil)
		So(again, ShouldResemble, first)
		So(b.Accounts["acme"].ToppedUp, ShouldEqual, 107)
		for _, bad := range []struct {
			name, key string
			amount    int64
			kind      errs.Kind
		}{
			{"acme", "k", 8, errs.Conflict}, {"other", "k", 7, errs.Unknown}, {"acme", "", 7, errs.Invalid},
			{"acme", "l", 0, errs.Invalid}, {"acme", "l", -1, errs.Invalid}, {"acme", "l", MaxAmount - 106, errs.Invalid},
		} {
			_, err := b.TopUp(bad.name, bad.key, bad.amount, after(4))
			So(errs.KindOf(err), ShouldEqual, bad.kind)
		}
		So(b.Accounts["acme"].ToppedUp, ShouldEqual, 107)
	})
	Convey("So many keys are remembered, no more", t, func() {
		b := funded(1)
		for i := range maxTopUpKeys {
			_, err := b.TopUp("acme", fmt.Sprint(i), 1, start)
			So(err, ShouldBeNil)
		}
		So(len(b.Accounts["acme"].TopUps), ShouldEqual, maxTopUpKeys)
		_, known := b.Accounts["acme"].TopUps["first"]
		So(known, ShouldBeFalse)
		So(b.Check(), ShouldBeNil)
	})
}

func TestLedger(t *testing.T) {
	Convey("given an account of many entries", t, func() {
		b := funded(1)
		for i := range 3 * keepEntries {
			_, err := b.TopUp("acme", fmt.Sprint(i), 2, after(i))
			So(err, ShouldBeNil)
		}
		l := &b.Accounts["acme"].Ledger
		Convey("the oldest are folded into the base, and the sum still holds", func() {
			So(len(l.Entries), ShouldBeBetween, keepEntries-1, 2*keepEntries)
			So(l.Head.Number, ShouldEqual, 3*keepEntries+1)
			So(l.Base.Number+uint64(len(l.Entries)), ShouldEqual, l.Head.Number)
			So(l.Head.ToppedUp, ShouldEqual, 6*keepEntries+1)
			So(l.Verify(), ShouldBeNil)
		})
		Convey("an entry that was changed, left out or doubled is found", func() {
			for name, change := range map[string]func(){
				"amount": func() { l.Entries[3].Amount++ },
				"two amounts, the same sum": func() {
					l.Entries[3].Amount++
					l.Entries[4].Amount--
				},
				"key":      func() { l.Entries[3].Key = "x" },
				"time":     func() { l.Entries[3].At = after(-1) },
				"left out": func() { l.Entries = append(l.Entries[:3:3], l.Entries[4:]...) },
				"doubled":  func() { l.Entries = append(l.Entries[:4:4], l.Entries[3:]...) },
				"base":     func() { l.Base.Spent++ },
				"kind":     func() { l.Entries[3].Kind = "gift" },
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
			var out bytes.Buffer
			So(l.WriteCSV(&out), ShouldBeNil)
			rows := strings.Split(strings.TrimSpace(out.String()), "\n")
			So(len(rows), ShouldEqual, len(l.Entries)+3)
			So(rows[1], ShouldContainSubstring, ",base,")
			last := strings.Split(rows[len(rows)-2], ",")
			head := strings.Split(rows[len(rows)-1], ",")
			So(head[len(head)-3:], ShouldResemble, last[len(last)-3:])
		})
		Convey("a part of it is read by numbers", func() {
			part := l.Since(l.Head.Number-3, 2)
			So([]uint64{part[0].Number, part[1].Number}, ShouldResemble, []uint64{l.Head.Number - 2, l.Head.Number - 1})
			So(l.Since(l.Head.Number, 5), ShouldBeEmpty)
			So(l.Since(0, 1)[0].Number, ShouldEqual, l.Base.Number+1)
		})
	})
}

func TestCost(t *testing.T) {
	Convey("A price is what exact arithmetic gives, rounded up", t, func() {
		So(Price{Core: 3, GPU: 50, Memory: 2}.Rate(Needs{MilliCPU: 1500, MemoryMB: 500, GPUs: 1}), ShouldEqual, 4500+50_000+1000)
		So(Rate(MaxAmount).Cost(1<<62), ShouldEqual, MaxAmount)
		So(Rate(5).Cost(-time.Second), ShouldEqual, 0)
		rapid.Check(t, func(t *rapid.T) {
			rate, length := rapid.Int64Range(0, 1<<50).Draw(t, "rate"), rapid.Int64Range(0, 1<<55).Draw(t, "length")
			want := new(big.Int).Mul(big.NewInt(rate), big.NewInt(length))
			want.Add(want, big.NewInt(1e12-1))
			want.Div(want, big.NewInt(1e12))
			if !want.IsInt64() || want.Int64() > MaxAmount {
				want = big.NewInt(MaxAmount)
			}
			if got := Rate(rate).Cost(time.Duration(length)); got != want.Int64() {
				t.Fatalf("%d, want %d", got, want)
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
