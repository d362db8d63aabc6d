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

// history applies random events to a table, and keeps its own records to compare with.
type history struct {
	*rapid.T
	table  *Table
	now    time.Time
	topUps map[string]int64     // by account and key
	runs   map[string]Charge    // with a reservation
	began  map[string]time.Time // when each of runs started
	next   int                  // number in the newest run's name
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
			h.Fatalf("%v", err)
		}
	case known && before != amount:
		if errs.KindOf(err) != errs.Conflict {
			h.Fatalf("key %s of %d again with %d: %v", key, before, amount, err)
		}
	case err != nil:
		h.Fatalf("%v", err)
	default:
		h.topUps[name+key] = amount
	}
}

func (h *history) reserve(name string) {
	h.next++
	c := Charge{
		Run: fmt.Sprint("r", h.next), Account: name,
		Rate:    Rate(rapid.Int64Range(0, 20_000).Draw(h.T, "rate")),
		Window:  time.Duration(rapid.IntRange(1, 8000).Draw(h.T, "window")) * time.Millisecond,
		Granted: rapid.IntRange(0, 9).Draw(h.T, "attached") == 0,
	}
	covered := name != "none" && h.table.Accounts[name].Balance >= c.Rate.Cost(c.Window)
	err := h.table.Reserve(c, h.now)
	if (err == nil) != (covered || c.Granted && name != "none") {
		h.Fatalf("covered %v, attached %v: %v", covered, c.Granted, err)
	}
	if err == nil {
		h.runs[c.Run], h.began[c.Run] = c, h.now
		if !c.Granted && h.table.Accounts[name].Balance < 0 {
			h.Fatalf("a start drew account %s to %d", name, h.table.Accounts[name].Balance)
		}
	}
}

// debit ends a run, and checks that it pays for exactly its time.
func (h *history) debit(run string) {
	c := h.runs[run]
	a := h.table.Accounts[c.Account]
	drawn := h.table.Reservations[run].Drawn
	spent := a.Spent
	h.table.Debit(run, h.now)
	if paid, want := drawn+a.Spent-spent, c.Rate.Cost(h.now.Sub(h.began[run])); paid != want {
		h.Fatalf("%s paid %d for %s, want %d", run, paid, h.now.Sub(h.began[run]), want)
	}
	delete(h.runs, run)
}

// anyRun draws a run with a reservation, "" if there is none.
func (h *history) anyRun() string {
	var open []string
	for i := 1; i <= h.next; i++ {
		if _, ok := h.runs[fmt.Sprint("r", i)]; ok {
			open = append(open, fmt.Sprint("r", i))
		}
	}
	if len(open) == 0 {
		return ""
	}
	return rapid.SampledFrom(open).Draw(h.T, "run")
}

// checkInvariants checks what must hold after every event.
func (h *history) checkInvariants() {
	if err := h.table.Check(); err != nil {
		h.Fatalf("%v", err)
	}
	sums := map[string]int64{}
	for key, amount := range h.topUps {
		sums[key[:1]] += amount
	}
	for name, a := range h.table.Accounts {
		if a.ToppedUp != sums[name] {
			h.Fatalf("account %s was topped up with %d, has %d", name, sums[name], a.ToppedUp)
		}
	}
	for run, r := range h.table.Reservations {
		if _, isOpen := h.runs[run]; !isOpen || !r.Until.After(h.now) || r.Until.Sub(h.now) > r.Window {
			h.Fatalf("reservation of %s until %s at %s", run, r.Until, h.now)
		}
	}
	if len(h.runs) != len(h.table.Reservations) {
		h.Fatalf("%d runs, %d reservations", len(h.runs), len(h.table.Reservations))
	}
}

func TestRandomHistories(t *testing.T) {
	Convey("In any order of events nothing is lost or counted twice, and a decoded copy continues alike", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			h := &history{
				T: t, table: NewTable(), now: start,
				topUps: map[string]int64{}, runs: map[string]Charge{}, began: map[string]time.Time{},
			}
			must(h.table.Create("a", 0))
			must(h.table.Create("b", 0))
			for range rapid.IntRange(1, 80).Draw(t, "events") {
				h.event()
				h.checkInvariants()
				h.table = decodedCopy(t, h.table) // for the next event
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
	again, err := json.Marshal(decoded)
	must(err)
	if !bytes.Equal(data, again) {
		t.Fatalf("%s\n%s", data, again)
	}
	return decoded
}
