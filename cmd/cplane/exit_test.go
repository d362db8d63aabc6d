package main

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/urfave/cli/v3"

	"crosstide/internal/fault"
)

func TestExit(t *testing.T) {
	Convey("A command's fault gives its code, and its message without a trace; usage is 2, all else 1", t, func() {
		for kind, code := range map[fault.Kind]int{fault.Conflict: 3, fault.Invalid: 4, fault.Forbidden: 4, fault.Unknown: 4,
			fault.Unavailable: 5, fault.Timeout: 5, fault.Settings: 2, fault.Internal: 1} {
			c := codes(&cli.Command{Name: "x", Commands: []*cli.Command{{Name: "y", Action: func(context.Context, *cli.Command) error {
				return fault.Pass(fault.Field(kind, "base", "no"), "deep")
			}}}})[0]
			err := c.Commands[0].Action(t.Context(), nil)
			So(exitOf(fault.Pass(err, "run")), ShouldEqual, code)
			So(err.Error(), ShouldEqual, string(kind)+": base: no")
		}
		So(exitOf(errors.New("required flag")), ShouldEqual, exitUsage)
		So(exitOf(fault.New(fault.Settings, "run")), ShouldEqual, exitOther)
	})
}
