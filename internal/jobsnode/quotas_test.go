package jobsnode

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestControlPlaneQuotas(t *testing.T) {
	Convey("The quotas leave descriptors for the store's files, and unreserved connections for any use", t, func() {
		quotas, err := newControlPlaneQuotas(1000)
		So(err, ShouldBeNil)
		reserved, names := 0, []string{}
		for _, use := range quotas.limiter.Usage() {
			reserved += use.Reserved
			names = append(names, use.Name)
		}
		So(names, ShouldResemble, []string{"peers", "nodes", "control", "holds", "starts"})
		So(reserved, ShouldBeBetween, (1000-reservedDescriptors)*3/4, 1000-reservedDescriptors)
	})
	Convey("Too few descriptors are rejected with the field's name; 0 means the system's limit", t, func() {
		_, err := newControlPlaneQuotas(2 * reservedDescriptors)
		So([]any{errs.KindOf(err), errs.Of(err).Field}, ShouldResemble, []any{errs.Settings, "descriptors"})
		quotas, err := newControlPlaneQuotas(0)
		So(err, ShouldBeNil)
		So(quotas.limiter.Usage()[0].Reserved, ShouldBeGreaterThan, 0)
	})
}

func TestDataPlaneQuotas(t *testing.T) {
	Convey("Clients may take all connections except those reserved for the other uses of a data-plane node", t, func() {
		quotas, err := newDataPlaneQuotas(1000)
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
