package jobsnode

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestCoreQuotas(t *testing.T) {
	Convey("A core node's quotas leave descriptors for the store's files and connections for any use", t, func() {
		quotas, err := newCoreQuotas(1000)
		So(err, ShouldBeNil)
		reserved, names := 0, []string{}
		for _, use := range quotas.limiter.Usage() {
			reserved += use.Reserved
			names = append(names, use.Name)
		}
		So(names, ShouldResemble, []string{"peers", "nodes", "control", "holds", "starts"})
		So(reserved, ShouldBeBetween, (1000-reservedDescriptors)*3/4, 1000-reservedDescriptors)
	})
	Convey("Too few descriptors are refused by field; 0 is the system's limit", t, func() {
		_, err := newCoreQuotas(2 * reservedDescriptors)
		So([]any{errs.KindOf(err), errs.Of(err).Field}, ShouldResemble, []any{errs.Settings, "descriptors"})
		quotas, err := newCoreQuotas(0)
		So(err, ShouldBeNil)
		So(quotas.limiter.Usage()[0].Reserved, ShouldBeGreaterThan, 0)
	})
}

func TestFrontQuotas(t *testing.T) {
	Convey("Clients may take all connections but those reserved for a front node's other uses", t, func() {
		quotas, err := newFrontQuotas(1000)
		So(err, ShouldBeNil)
		reserved := 0
		for _, use := range quotas.limiter.Usage() {
			if use.Name != "clients" {
				So(use.Reserved, ShouldBeGreaterThan, 100)
				reserved += use.Reserved
			}
		}
		So(reserved, ShouldBeLessThan, 300)
		_, err = NewDataPlaneNode(DataPlaneOptions{Descriptors: 1})
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
	})
}
