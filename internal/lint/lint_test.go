package lint

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const top = `package x
import ("errors"; "net/http"; "time"; clock "time"; "crosstide/internal/errs")
`

func TestRules(t *testing.T) {
	Convey("Each rule finds what it is for and nothing else", t, func() {
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
			{"internal/a/a.go", `func (x X) Unwrap() error { return x.g() }`, ""},
			{"internal/a/a.go", `func f(err error) error { return err }`, ""},
			{"internal/a/a.go", `func f() error { err := g(); return errs.Wrap(err, "") }`, ""},
			{"internal/a/a.go", `func f() error { return errors.Join(a, b) }`, ""},
			{"internal/a/a.go", `func f() error { err := g(); err = errs.Pass(err, ""); return err }`, ""},
			{"internal/a/a.go", `func f() error { err := g(); if err != nil { err = errs.Pass(err, "") }; return err }`, ""},
			{"internal/a/a.go", `func f() error { if a { err := g(); use(err) }; err := errs.New(""); return err }`, ""},
			{"internal/a/a.go", `func f() error { h(func() int { return g() }); return nil }`, ""},
		} {
			got := ""
			for _, f := range scanFile(c.file, c.file, top+c.body) {
				got += f.Rule
			}
			So(fmt.Sprint(c.file, " ", c.body, " -> ", got), ShouldEqual, fmt.Sprint(c.file, " ", c.body, " -> ", c.want))
		}
		other := scanFile("a.go", "a.go", `package x; import "github.com/valyala/fasthttp"; import "golang.org/x/sync/errgroup"`)
		So(len(other), ShouldEqual, 2)
		So(other[0].String(), ShouldEqual, "a.go:1: http: import of github.com/valyala/fasthttp")
	})
}

func TestModule(t *testing.T) {
	for _, f := range Scan("../..") {
		t.Error(f)
	}
}
