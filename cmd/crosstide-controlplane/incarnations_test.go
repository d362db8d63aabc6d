package main

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestRunIncarnations(t *testing.T) {
	Convey("A removed node starts another incarnation in the same process until ctx ends", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		incarnations := 0
		err := runIncarnations(ctx, func(incarnation context.Context, removed func()) error {
			if incarnations++; incarnations < 4 {
				removed()
			} else {
				cancel()
			}
			<-incarnation.Done()
			return nil
		})
		So(err, ShouldBeNil)
		So(incarnations, ShouldEqual, 4)
	})
	Convey("No incarnation follows one that fails", t, func() {
		incarnations := 0
		err := runIncarnations(context.Background(), func(_ context.Context, removed func()) error {
			incarnations++
			removed()
			return errs.New(errs.Disk, "no folder")
		})
		So(errs.Is(err, errs.Disk), ShouldBeTrue)
		So(incarnations, ShouldEqual, 1)
	})
}
