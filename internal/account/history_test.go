package account

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/errs"
)

// history applies random events to a table, and keeps its own records to compare the table with.
type history struct {
	*rapid.T
	table  *Table
	now    time.Time
	topUps map[string]int64     // amounts by account and key
	runs   map[string]Charge    // runs with a reservation
	starts map[string]time.Time // start times of all runs that got a reservation
	newest int                  // number in the newest run's name
}

// event renews the reservations at a later time, and makes a random change.
func (h *history) event() {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(h.T, "ms")) * time.Millisecond)
	h.table.Renew(h.now)
	name := rapid.SampledFrom([]string{"a", "b", "none"}).Draw(h.T, "account")
	switch rapid.IntRange(0, 5).Draw(h.T, "event") {
	case 0:
		h.topUp(name)
	case 1, 2, 3:
		h.reserve(name)
	case 4:
		if run := h.anyRun(); run != "" {
			h.debit(run)
		}
	default:
		if run := h.anyRun(); run != "" {
			h.table.Refund(run)
			delete(h.runs, run)
		}
	}
}

func (h *history) topUp(name string) {
	key := fmt.Sprint("k", rapid.IntRange(0, 20).Draw(h.T, "key"))
	amount := rapid.Int64Range(1, 3).Draw(h.T, "amount") * 100
	_, err := h.table.TopUp(name, key, amount, h.now)
	before, known := h.topUps[name+key]
	switch {
	case name == "none":
		if errs.KindOf(err) != errs.Unknown {
			h.Fatalf("top-up of an unknown account: want Unknown, got %v", err)
		}
	case known && before != amount:
		if errs.KindOf(err) != errs.Conflict {
			h.Fatalf("key %s of a top-up of %d reused for %d: want Conflict, got %v", key, before, amount, err)
		}
	case err != nil:
		h.Fatalf("top-up of account %s with key %s: %v", name, key, err)
	default:
		h.topUps[name+key] = amount
	}
}

func (h *history) reserve(name string) {
	h.newest++
	c := Charge{
		Run: fmt.Sprint("r", h.newest), Account: name,
		Rate:    Rate(rapid.Int64Range(0, 20_000).Draw(h.T, "rate")),
		Window:  time.Duration(rapid.IntRange(1, 8000).Draw(h.T, "window")) * time.Millisecond,
		Granted: rapid.IntRange(0, 9).Draw(h.T, "granted") == 0,
	}
	covered := name != "none" && h.table.Accounts[name].Balance >= c.Rate.Cost(c.Window)
	err := h.table.Reserve(c, h.now)
	if (err == nil) != (covered || c.Granted && name != "none") {
		h.Fatalf("reserve on account %s, covered %v, granted %v: %v", name, covered, c.Granted, err)
	}
	if err == nil {
		h.runs[c.Run], h.starts[c.Run] = c, h.now
		if !c.Granted && h.table.Accounts[name].Balance < 0 {
			h.Fatalf("a start without grant left account %s with balance %d", name, h.table.Accounts[name].Balance)
		}
	}
}

// debit ends a run, and checks that it pays for exactly its run time.
func (h *history) debit(run string) {
	c := h.runs[run]
	a := h.table.Accounts[c.Account]
	drawn := h.table.Reservations[run].Drawn
	spent := a.Spent
	h.table.Debit(run, h.now)
	if paid, want := drawn+a.Spent-spent, c.Rate.Cost(h.now.Sub(h.starts[run])); paid != want {
		h.Fatalf("%s paid %d for %s, want %d", run, paid, h.now.Sub(h.starts[run]), want)
	}
	delete(h.runs, run)
}

// anyRun draws a run with a reservation. It returns "" if no run has one.
func (h *history) anyRun() string {
	var running []string
	for i := 1; i <= h.newest; i++ {
		if _, ok := h.runs[fmt.Sprint("r", i)]; ok {
			running = append(running, fmt.Sprint("r", i))
		}
	}
	if len(running) == 0 {
		return ""
	}
	return rapid.SampledFrom(running).Draw(h.T, "run")
}

// checkInvariants checks the invariants of the table against the records of the history.
func (h *history) checkInvariants() {
	if err := h.table.Check(); err != nil {
		h.Fatalf("check of the table: %v", err)
	}
	toppedUp := map[string]int64{}
	for key, amount := range h.topUps {
		toppedUp[key[:1]] += amount
	}
	for name, a := range h.table.Accounts {
		if a.ToppedUp != toppedUp[name] {
			h.Fatalf("account %s: ToppedUp is %d, want %d", name, a.ToppedUp, toppedUp[name])
		}
	}
	for run, r := range h.table.Reservations {
		if _, isRunning := h.runs[run]; !isRunning || !r.Until.After(h.now) || r.Until.Sub(h.now) > r.Window {
			h.Fatalf("run %s (running: %v) has a reservation until %s at %s", run, isRunning, r.Until, h.now)
		}
	}
	if len(h.runs) != len(h.table.Reservations) {
		h.Fatalf("%d runs, %d reservations", len(h.runs), len(h.table.Reservations))
	}
}

func TestRandomHistories(t *testing.T) {
	Convey("After any events no amount is lost or counted twice, and a decoded copy can replace the table", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			h := &history{
				T: t, table: NewTable(), now: start,
				topUps: map[string]int64{}, runs: map[string]Charge{}, starts: map[string]time.Time{},
			}
			must(h.table.Create("a", 0))
			must(h.table.Create("b", 0))
			for range rapid.IntRange(1, 80).Draw(t, "events") {
				h.event()
				h.checkInvariants()
				h.table = decodedCopy(t, h.table) // the next event is applied to the copy
			}
		})
	})
}

// decodedCopy encodes and decodes a table, and checks that the copy encodes to the same bytes.
func decodedCopy(t *rapid.T, table *Table) *Table {
	t.Helper()
	data, err := json.Marshal(table)
	must(err)
	decoded := &Table{}
	must(json.Unmarshal(data, decoded))
	decoded.Rebuild()
	reencoded, err := json.Marshal(decoded)
	must(err)
	if !bytes.Equal(data, reencoded) {
		t.Fatalf("the decoded table encodes differently:\n%s\n%s", data, reencoded)
	}
	return decoded
}
