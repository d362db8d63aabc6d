package main

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

func TestExitCodes(t *testing.T) {
	Convey("The exit code depends on the kind of a command's error, whose message has no trace", t, func() {
		for kind, code := range map[errs.Kind]int{
			errs.Conflict: 3, errs.Invalid: 4, errs.Forbidden: 4, errs.Unknown: 4,
			errs.Unavailable: 5, errs.Timeout: 5, errs.Settings: 2, errs.Internal: 1,
		} {
			fail := func(context.Context, *cli.Command) error {
				return errs.Pass(errs.Field(kind, "base", "no"), "deep")
			}
			tree := &cli.Command{Name: "x", Commands: []*cli.Command{{Name: "y", Action: fail}}}
			err := withExitCodes(tree)[0].Commands[0].Action(t.Context(), nil)
			So(exitCode(errs.Pass(err, "run")), ShouldEqual, code)
			So(err.Error(), ShouldEqual, string(kind)+": base: no")
		}
		So(exitCode(errors.New("required flag")), ShouldEqual, exitUsage)
		So(exitCode(errs.New(errs.Settings, "run")), ShouldEqual, exitOther)
	})
}
