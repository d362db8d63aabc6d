package lint

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const fileHeader = `package x
import ("errors"; "net/http"; "time"; clock "time"; "crosstide/internal/errs")
`

func TestRules(t *testing.T) {
	Convey("Each rule reports its violations and accepts other code", t, func() {
		for _, c := range []struct{ file, body, want string }{
			{"internal/a/a.go", `func f() { go g() }`, "go"},
			{"internal/a/a_test.go", `func f() { go g() }`, "go"},
			{"internal/routine/a.go", `func f() { go g() }`, ""},
			{"internal/a/a_test.go", `func f() { clock.Sleep(1) }`, "sleep"},
			{"internal/a/a.go", `func f() { time.Sleep(1) }`, ""},
			{"internal/a/a.go", `var t = time.Now()`, "now"},
			{"cmd/a/a.go", `var t = time.Since`, "now"},
			{"internal/clock/a.go", `var t = time.Now()`, ""},
			{"internal/a/a_test.go", `var t = time.Now()`, ""},
			{"internal/a/a.go", `func f(time T) { time.Now() }`, ""},
			{"internal/a/a.go", `var s = http.Server{}`, "http"},
			{"internal/a/a.go", `var s http.Handler`, ""},
			{"internal/a/a.go", `func f( {`, "parse"},
			// withdrawn terms
			{"internal/a/a.go", `var alarmClock int`, "name"},
			{"internal/a/a.go", `type t struct { MaxBacklog int }`, "name"},
			{"internal/a/a.go", `func f(consumers int) { for _, ticketID := range g { use(ticketID) } }`, "namename"},
			{"internal/a/a_test.go", `func f() { tallies := g(); use(tallies) }`, "name"},
			{"internal/a/a.go", `func f() { use(x.Alarm, spawn.Fault) }`, ""},
			{"internal/a/a.go", `var respawned, alarming, asphalt, defaults int`, ""},
			{"internal/a/a.go", `var fault int`, "name"},
			{"internal/a/a.go", `const HTTPFaults_2 = "" // two of them`, "name"},
			{"internal/testbed/a/a.go", `var fault int`, ""},
			{"cmd/crosstide-testbed/a.go", `var fault int`, ""},
			{"internal/testbed/a/a.go", `var ticket int`, "name"},
			{"internal/a/charter.go", `var x int`, "name"},
			{"internal/a/charterhouse.go", `var x int`, ""},
			// doc comments
			{"internal/a/a.go", `func F() {}`, "doc"},
			{"internal/a/a.go", `// F does it.
func F() {}`, ""},
			{"internal/a/a.go", `func (t T) F() {}`, "doc"},
			{"internal/a/a.go", `// F does it.
func (t T) F() {}`, ""},
			{"internal/a/a.go", `type T struct{}`, "doc"},
			{"internal/a/a.go", `const (
A = 1
B = 2 // two
c = 3
)`, "doc"},
			{"internal/a/a.go", `// Numbers.
const (
A = 1
B = 2
)`, ""},
			{"internal/a/a.go", `func f() {}; type t int; var v int`, ""},
			{"internal/a/a_test.go", `func F() {}`, ""},
			// errors
			{"internal/a/a.go", `func f() error { err := g(); return err }`, "bare"},
			{"internal/a/a.go", `func f() error { if err := g(); err != nil { return err }; return nil }`, "bare"},
			{"internal/a/a.go", `func f() (int, error) { n, e := g(); return n, e }`, "bare"},
			{"internal/a/a.go", `func f() (int, error) { return g() }`, "bare"},
			{"internal/a/a.go", `func f() error { return x.y.g() }`, "bare"},
			{"internal/a/a.go", `func f() error { return g[int]() }`, "bare"},
			{"internal/a/a.go", `func f() (err error) { err = g(); return }`, "bare"},
			{"internal/a/a.go", `var f = func() error { return g() }`, "bare"},
			{"internal/a/a.go", `func f() error { var err = g(); return err }`, "bare"},
			{"internal/a/a.go", `func f() error { err := g(); if a { err = errs.New("") }; return err }`, "bare"},
			{"internal/a/a.go", `func f() error { err := errs.New(""); if a { err = g() }; return err }`, "bare"},
			{"internal/a/a.go", `func f() error { var err error; switch { case a: err = g() }; return err }`, "bare"},
			{"other/a.go", `func f() error { return g() }`, ""},
			{"internal/a/a_test.go", `func f() error { return g() }`, ""},
			{"internal/a/a.go", `func f() int { return g() }`, ""},
			{"internal/a/a.go", `// Unwrap is needed by errors.Is.
func (x X) Unwrap() error { return x.g() }`, ""},
			{"internal/a/a.go", `func f(err error) error { return err }`, ""},
			{"internal/a/a.go", `func f() error { err := g(); return errs.Wrap(err, "") }`, ""},
			{"internal/a/a.go", `func f() error { return errors.Join(a, b) }`, ""},
			{"internal/a/a.go", `func f() error { err := g(); err = errs.Pass(err, ""); return err }`, ""},
			{"internal/a/a.go", `func f() error { err := g(); if err != nil { err = errs.Pass(err, "") }; return err }`, ""},
			{"internal/a/a.go", `func f() error { if a { err := g(); use(err) }; err := errs.New(""); return err }`, ""},
			{"internal/a/a.go", `func f() error { h(func() int { return g() }); return nil }`, ""},
		} {
			got := ""
			for _, f := range scanFile(c.file, c.file, fileHeader+c.body, packageDocs{}) {
				got += f.Rule
			}
			So(fmt.Sprint(c.file, " ", c.body, " -> ", got), ShouldEqual, fmt.Sprint(c.file, " ", c.body, " -> ", c.want))
		}
		imports := scanFile("a.go", "a.go",
			`package x; import "github.com/valyala/fasthttp"; import "golang.org/x/sync/errgroup"`, packageDocs{})
		So(len(imports), ShouldEqual, 2)
		So(imports[0].String(), ShouldEqual, "a.go:1: http: import of github.com/valyala/fasthttp")
	})
}

func TestPackageComment(t *testing.T) {
	Convey("A package needs a comment in one of its non-test files", t, func() {
		docs := packageDocs{}
		scanFile("a/a.go", "a/a.go", "package a", docs)
		scanFile("a/b.go", "a/b.go", "// Package a is described.\npackage a", docs)
		scanFile("b/b.go", "b/b.go", "// Detached.\n\npackage b", docs)
		scanFile("b/b_test.go", "b/b_test.go", "// Package b is described.\npackage b", docs)
		So(docs.findings(), ShouldResemble, []Finding{{File: "b", Rule: RuleDoc, Text: "the package has no doc comment"}})
	})
}

// Checks the module itself.
func TestModule(t *testing.T) {
	for _, f := range Scan("../..") {
		t.Error(f)
	}
}
