package audit

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/journal"
)

// history parses lines of the form "FILE SECONDS JSON", where FILE has no suffix and JSON neither braces nor "at".
func history(lines ...string) History {
	var h History
	for i, text := range lines {
		var file, rest string
		var at float64
		_, err := fmt.Sscan(text, &file, &at, &rest)
		So(err, ShouldBeNil)
		raw := fmt.Sprintf(`{"at":%d,%s}`, int64(at*1e9), text[strings.Index(text, `"`):])
		e, err := Parse(journal.Line{File: file, Number: i + 1, Raw: []byte(raw)})
		So(err, ShouldBeNil)
		if e.Source == Worker {
			e.Worker = strings.TrimSuffix(file, ".jsonl")
		}
		h.Events = append(h.Events, e)
	}
	return h
}

func verdicts(h History) map[string]string {
	byInvariant := map[string]string{}
	for _, f := range Check(h) {
		byInvariant[f.Invariant] = f.Verdict
	}
	return byInvariant
}

// cleanLines returns a history that exercises every invariant that has a check, and violates none.
func cleanLines() []string {
	return []string{
		`consumer-1 0 "ev":"accepted","job":"a","steps":[{"name":"s","tasks":2,"labels":{"gpu":"x"}}]`,
		`consumer-1 0 "ev":"accepted","job":"b","steps":[{"name":"s","tasks":1}]`,
		`consumer-1 1 "ev":"poll","job":"a","state":"404"`,
		`m1 0 "ev":"boot","boot":"b1","labels":{"gpu":"x"}`,
		`m1 1 "ev":"order","boot":"b1","job":"a","step":"s","task":0,"ticket":1,"epoch":5,"labels":{"gpu":"x"}`,
		`m1 1 "ev":"start","boot":"b1","job":"a","step":"s","task":0,"ticket":1,"epoch":5,"labels":{"gpu":"x"}`,
		`m1 2 "ev":"end","boot":"b1","job":"a","step":"s","task":0,"ticket":1,"ok":false`,
		`m1 3 "ev":"start","boot":"b1","job":"a","step":"s","task":0,"ticket":2,"epoch":5,"labels":{"gpu":"x"}`,
		`m1 4 "ev":"end","boot":"b1","job":"a","step":"s","task":0,"ticket":2,"ok":true`,
		`m1 4.5 "ev":"start","boot":"b1","job":"a","step":"s","task":1,"ticket":3,"epoch":5,"labels":{"gpu":"x"}`,
		`m1 5 "ev":"start","boot":"b1","job":"b","step":"s","task":0,"ticket":4,"epoch":5`,
		`m1 5 "ev":"drain","boot":"b1","ok":true`,
		`m1 6.9 "ev":"start","boot":"b1","job":"c","step":"s","task":0,"ticket":5,"epoch":5`,
		`drill-fleet 7 "ev":"kill","node":"m1"`,
		`m1 30 "ev":"boot","boot":"b2","labels":{"gpu":"x"}`,
		`m2 0 "ev":"boot","boot":"b1","zone":"z2","labels":{"gpu":"x"}`,
		`m2 8 "ev":"start","boot":"b1","zone":"z2","job":"a","step":"s","task":1,"ticket":6,"epoch":9`,
		`m2 9 "ev":"end","boot":"b1","zone":"z2","job":"a","step":"s","task":1,"ticket":6,"ok":true`,
		`m2 9 "ev":"start","boot":"b1","zone":"z2","job":"d","step":"s","task":0,"ticket":7,"epoch":9`,
		`m2 9.5 "ev":"stop","boot":"b1","zone":"z2","job":"d","step":"s","task":0,"ticket":7`,
		`m2 10 "ev":"start","boot":"b1","zone":"z2","job":"e","step":"s","task":0,"ticket":8,"epoch":9`,
		`drill-zone 10 "ev":"freeze","node":"m2"`,
		`m3 35 "ev":"start","boot":"b1","job":"e","step":"s","task":0,"ticket":9,"epoch":9`,
		`m2 36 "ev":"lapse","boot":"b1","zone":"z2","job":"e","step":"s","task":0,"ticket":8`,
		`consumer-1 8 "ev":"cancelled","job":"d"`,
		`operator-1 5 "ev":"evacuate","zone":"z2"`,
		`operator-1 40 "ev":"lift","zone":"z2"`,
		`operator-1 8 "ev":"drain","node":"m2"`,
		`drill-fleet 4 "ev":"wipe","node":"c1"`,
		`drill-fleet 4.6 "ev":"kill","node":"c2"`,
		`consumer-1 9.5 "ev":"poll","job":"a","state":"done"`,
		`operator-2 0.5 "ev":"put","sent":400000000,"order":"o1","base":1,"version":2,"sha":"A","ok":true`,
		`operator-2 0.5 "ev":"put","sent":400000000,"order":"o2","base":1,"ok":false,"why":"conflict"`,
		`operator-2 0.7 "ev":"put","sent":600000000,"order":"o1","base":1,"version":2,"sha":"A","ok":true`,
		`operator-2 1.8 "ev":"sign","sent":1700000000,"order":"s1","version":2,"sha":"A","ok":true`,
		`operator-2 2 "ev":"bundle","sent":1900000000,"order":"s2","base":1,"version":2,"sha":"A","ok":true,` +
			`"bundle":{"queues":{"q":{"labels":{"disk":"ssd"},"placement":{"zones":["z7"],"racks":["r1"],` +
			`"near":[{"label":"data","value":"s","within":"rack"}]}}}}`,
		`operator-2 2.2 "ev":"has","sent":2100000000,"node":"d1","version":1,"ok":true`,
		`operator-2 2.6 "ev":"read","sent":2500000000,"node":"c1","version":2,"sha":"A"`,
		`operator-2 4.6 "ev":"has","sent":4500000000,"node":"d1","version":2,"ok":true`,
		`operator-2 4.7 "ev":"has","sent":4600000000,"node":"d3","ok":false,"why":"unavailable"`,
		`m7 0 "ev":"boot","boot":"b1","zone":"z7","rack":"r1","labels":{"disk":"ssd","data":"s"}`,
		`m7 3.9 "ev":"start","boot":"b1","zone":"z7","queue":"default","job":"p","step":"s","task":0,"ticket":30,"epoch":5`,
		`m7 4.1 "ev":"start","boot":"b1","zone":"z7","queue":"q","job":"q","step":"s","task":0,"ticket":31,"epoch":5`,
	}
}

func TestAudit(t *testing.T) {
	checked := []string{"once", "ticket-newer", "fence", "place", "drain", "evacuate", "cancel", "known", "done",
		"operators", "bundle", "readback", "repair"}

	// A start that only bundle 1 allows, after bundle 2 came into force.
	late := `m7 4.2 "ev":"start","boot":"b1","zone":"z7","queue":"default","job":"p2","step":"s","task":0,` +
		`"ticket":40,"epoch":5`

	Convey("A clean history satisfies every invariant that has a check, with cases for each", t, func() {
		findings := Check(history(cleanLines()...))
		So(NoneViolated(findings), ShouldBeTrue)
		for _, f := range findings {
			want := NotExercised
			for _, name := range checked {
				if name == f.Invariant {
					want = Satisfied
				}
			}
			So(f.Invariant+" "+f.Verdict+strings.Join(f.Lines, ""), ShouldEqual, f.Invariant+" "+want)
		}
	})

	Convey("An empty history exercises nothing", t, func() {
		for invariant, verdict := range verdicts(History{}) {
			So(invariant+verdict, ShouldEqual, invariant+NotExercised)
		}
	})

	Convey("While the outcome of a signature is unknown, starts are not checked against placement policies", t, func() {
		unsure := `operator-3 34 "ev":"unsure","sent":4000000000,"order":"s3","version":3`
		So(verdicts(history(append(cleanLines(), late)...))["place"], ShouldEqual, Violated)
		So(verdicts(history(append(cleanLines(), late, unsure)...))["place"], ShouldEqual, Satisfied)
	})

	Convey("Each violation is found, and violates no other invariant", t, func() {
		for _, c := range []struct {
			invariant, violation string
			lines                []string // added to the clean history
		}{
			{"once", "two runs at once, on two minions", []string{
				`m2 4.8 "ev":"start","boot":"b1","job":"b","step":"s","task":0,"ticket":20,"epoch":5`,
				`m2 6 "ev":"stop","boot":"b1","job":"b","step":"s","task":0,"ticket":20`,
			}},
			{"once", "started again after its success", []string{
				`m2 8 "ev":"start","boot":"b1","job":"a","step":"s","task":0,"ticket":20,"epoch":9`,
			}},
			{"once", "started again before its minion was killed", []string{
				`m2 6.95 "ev":"start","boot":"b1","job":"c","step":"s","task":0,"ticket":10,"epoch":5`,
			}},
			{"once", "one ticket on two minions", []string{
				`m4 9 "ev":"start","boot":"b1","job":"z","step":"s","task":0,"ticket":4,"epoch":9`,
			}},
			{"ticket-newer", "older than one that was ordered before", []string{
				`m3 36 "ev":"order","boot":"b1","job":"y","step":"s","task":0,"ticket":12`,
				`m3 36 "ev":"start","boot":"b1","job":"z","step":"s","task":0,"ticket":11,"epoch":9`,
			}},
			{"ticket-newer", "older than one of the previous incarnation", []string{
				`m1 31 "ev":"order","boot":"b2","job":"z","step":"s","ticket":13`,
				`m1 32 "ev":"boot","boot":"b3"`,
				`m1 32 "ev":"start","boot":"b3","job":"z","step":"s","task":0,"ticket":12,"epoch":9`,
			}},
			{"fence", "an older epoch after a newer one", []string{
				`m4 9 "ev":"start","boot":"b1","job":"z","step":"s","task":0,"ticket":10,"epoch":5`,
			}},
			{"place", "without a label of the accepted job", []string{
				`m5 5 "ev":"boot","boot":"b1","labels":{"gpu":"y"}`,
				`m5 5 "ev":"start","boot":"b1","job":"a","step":"s","task":7,"ticket":10,"epoch":5`,
			}},
			{"place", "without a label of the order", []string{
				`m5 5 "ev":"boot","boot":"b1"`,
				`m5 5 "ev":"start","boot":"b1","job":"z","step":"s","task":0,"ticket":10,"epoch":5,"labels":{"x":""}`,
			}},
			{"place", "under a bundle that was replaced", []string{
				late,
			}},
			{"place", "before its bundle came into force", []string{
				`m7 1.8 "ev":"start","boot":"b1","zone":"z7","queue":"q","job":"p2","step":"s","task":0,"ticket":29,"epoch":5`,
			}},
			{"place", "outside of the queue's zones", []string{
				`m8 0 "ev":"boot","boot":"b1","zone":"z8","rack":"r1","labels":{"disk":"ssd"}`,
				`m8 5 "ev":"start","boot":"b1","zone":"z8","queue":"q","job":"p2","step":"s","task":0,"ticket":40,"epoch":5`,
			}},
			{"place", "in another rack than the data", []string{
				`m8 0 "ev":"boot","boot":"b1","zone":"z7","rack":"r2","labels":{"disk":"ssd"}`,
				`m8 5 "ev":"start","boot":"b1","zone":"z7","queue":"q","job":"p2","step":"s","task":0,"ticket":40,"epoch":5`,
			}},
			{"place", "without the queue's label", []string{
				`m8 0 "ev":"boot","boot":"b1","zone":"z7","rack":"r1"`,
				`m8 5 "ev":"start","boot":"b1","zone":"z7","queue":"q","job":"p2","step":"s","task":0,"ticket":40,"epoch":5`,
			}},
			{"operators", "two drafts accepted on one base", []string{
				`operator-3 0.9 "ev":"put","sent":800000000,"order":"o3","base":1,"version":3,"sha":"B","ok":true`,
			}},
			{"operators", "repeated and refused", []string{
				`operator-3 0.9 "ev":"put","sent":800000000,"order":"o1","base":1,"ok":false,"why":"conflict"`,
			}},
			{"operators", "repeated and answered differently", []string{
				`operator-3 1.9 "ev":"sign","sent":1800000000,"order":"s1","version":3,"sha":"B","ok":true`,
			}},
			{"readback", "an older version", []string{
				`operator-3 2.6 "ev":"read","sent":2500000000,"node":"c2","version":1,"sha":"0"`,
			}},
			{"readback", "other bytes", []string{
				`operator-3 2.6 "ev":"read","sent":2500000000,"node":"c2","version":2,"sha":"B"`,
			}},
			{"bundle", "ignored", []string{
				`operator-3 4.2 "ev":"has","sent":4100000000,"node":"d2","version":1,"ok":true`,
			}},
			{"bundle", "back to an older version", []string{
				`operator-3 2.2 "ev":"has","sent":2100000000,"node":"d2","version":2,"ok":true`,
				`operator-3 2.4 "ev":"has","sent":2300000000,"node":"d2","version":1,"ok":true`,
			}},
			{"drain", "started after the minion reported the drain", []string{
				`m1 7.1 "ev":"start","boot":"b1","job":"z","step":"s","task":0,"ticket":10,"epoch":5`,
			}},
			{"drain", "started after an operator ordered the drain", []string{
				`m2 10.1 "ev":"start","boot":"b1","job":"z","step":"s","task":0,"ticket":10,"epoch":9`,
			}},
			{"drain", "still running after the grace", []string{
				`m2 7.5 "ev":"start","boot":"b1","job":"z","step":"s","task":0,"ticket":10,"epoch":9`,
				`m2 10.1 "ev":"stop","boot":"b1","job":"z","step":"s","task":0,"ticket":10`,
			}},
			{"evacuate", "still running after the grace", []string{
				`m6 9.5 "ev":"start","boot":"b1","zone":"z2","job":"z","step":"s","task":0,"ticket":10,"epoch":9`,
				`m6 10.1 "ev":"end","boot":"b1","zone":"z2","job":"z","step":"s","task":0,"ticket":10`,
			}},
			{"evacuate", "started after the grace", []string{
				`m6 10.1 "ev":"start","boot":"b1","zone":"z2","job":"z","step":"s","task":0,"ticket":10,"epoch":9`,
			}},
			{"cancel", "started after the grace", []string{
				`m6 11.1 "ev":"start","boot":"b1","job":"d","step":"s","task":1,"ticket":10,"epoch":9`,
			}},
			{"known", "answered 404 after the grace", []string{
				`consumer-1 3.1 "ev":"poll","job":"a","state":"404"`,
			}},
			{"done", "a task that never ended", []string{
				`consumer-1 6 "ev":"poll","job":"b","state":"done"`,
			}},
			{"done", "a task that ended later", []string{
				`consumer-1 8.5 "ev":"poll","job":"a","state":"done"`,
			}},
			{"repair", "answered 404 after the loss of a second node", []string{
				`consumer-1 20 "ev":"poll","job":"b","state":"404"`,
			}},
		} {
			found := verdicts(history(append(cleanLines(), c.lines...)...))
			for _, invariant := range checked {
				want := Satisfied
				if invariant == c.invariant || invariant == "known" && c.invariant == "repair" {
					want = Violated
				}
				name := c.invariant + ", " + c.violation + ": " + invariant + " "
				So(name+found[invariant], ShouldEqual, name+want)
			}
		}
	})
}
