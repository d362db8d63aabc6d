package main

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestServeLives(t *testing.T) {
	Convey("A node that was removed begins anew in the same process, again and again, until the process is to end", t, func() {
		ctx, end := context.WithCancel(context.Background())
		lives := 0
		err := serveLives(ctx, func(life context.Context, removed func()) error {
			if lives++; lives < 4 {
				removed()
			} else {
				end()
			}
			<-life.Done()
			return nil
		})
		So(err, ShouldBeNil)
		So(lives, ShouldEqual, 4)
	})
	Convey("A life that fails is the last one", t, func() {
		lives := 0
		err := serveLives(context.Background(), func(_ context.Context, removed func()) error {
			lives++
			removed()
			return errs.New(errs.Disk, "no folder")
		})
		So(errs.Is(err, errs.Disk), ShouldBeTrue)
		So(lives, ShouldEqual, 1)
	})
}
