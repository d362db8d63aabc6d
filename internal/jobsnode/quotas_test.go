package jobsnode

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestCoreShares(t *testing.T) {
	Convey("A core node's shares leave room for the store's files, and something for whoever needs it", t, func() {
		shares, err := newCoreShares(1000)
		So(err, ShouldBeNil)
		reserved, names := 0, []string{}
		for _, use := range shares.budget.Usage() {
			reserved += use.Reserved
			names = append(names, use.Name)
		}
		So(names, ShouldResemble, []string{"peers", "nodes", "control", "holds", "starts"})
		So(reserved, ShouldBeBetween, (1000-reservedDescriptors)*3/4, 1000-reservedDescriptors)
	})
	Convey("Too few descriptors are refused by name; none told takes what the system allows", t, func() {
		_, err := newCoreShares(2 * reservedDescriptors)
		So([]any{errs.KindOf(err), errs.Of(err).Field}, ShouldResemble, []any{errs.Settings, "descriptors"})
		shares, err := newCoreShares(0)
		So(err, ShouldBeNil)
		So(shares.budget.Usage()[0].Reserved, ShouldBeGreaterThan, 0)
	})
}

func TestFrontShares(t *testing.T) {
	Convey("Clients may take what a front node's other connections leave, and cannot take those", t, func() {
		shares, err := newFrontShares(1000)
		So(err, ShouldBeNil)
		reserved := 0
		for _, use := range shares.budget.Usage() {
			if use.Name != "clients" {
				So(use.Reserved, ShouldBeGreaterThan, 100)
				reserved += use.Reserved
			}
		}
		So(reserved, ShouldBeLessThan, 300)
		_, err = NewFront(FrontOptions{Descriptors: 1})
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
	})
}
