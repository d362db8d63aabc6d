package command

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

func TestAccounts_orders(t *testing.T) {
	Convey("Orders for accounts are applied once, also to a decoded state, and must be signed", t, func() {
		fixture := newOperatorsFixture()
		opened := &AccountCreate{Order: "o1", Account: "acme", By: "ada"}
		opened.Sig = fixture.keys["ada"].Sign(signature.AccountCreate("o1", "acme", 0))
		paid := &AccountTopUp{Account: "acme", Key: "k1", Amount: 50, By: "ben"}
		paid.Sig = fixture.keys["ben"].Sign(signature.AccountTopUp("k1", "acme", 50))
		_, err := fixture.do(paid)
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		first, err := fixture.do(opened)
		So(err, ShouldBeNil)
		made, err := fixture.do(paid)
		So(err, ShouldBeNil)
		data, err := fixture.st.Encode()
		So(err, ShouldBeNil)
		fixture.st, err = state.Decode(data)
		So(err, ShouldBeNil)
		again, err := fixture.do(opened)
		So(err, ShouldBeNil)
		So(fmt.Sprintf("%s", again), ShouldEqual, fmt.Sprintf("%s", first))
		twice, err := fixture.do(paid)
		So(err, ShouldBeNil)
		So(twice, ShouldResemble, made)
		So(fixture.st.Accounts.Accounts["acme"].Balance, ShouldEqual, 50)

		more := *paid
		more.Amount = 5000
		eve := *paid
		eve.By, eve.Sig = "eve", fixture.keys["eve"].Sign(signature.AccountTopUp("k1", "acme", 50))
		unsigned := *opened
		unsigned.Order, unsigned.Sig = "o2", ""
		for _, bad := range []Command{&more, &eve, &unsigned} {
			_, err := fixture.do(bad)
			So(errs.KindOf(err), ShouldEqual, errs.Forbidden)
		}
		more.Sig = fixture.keys["ben"].Sign(signature.AccountTopUp("k1", "acme", 5000))
		_, err = fixture.do(&more)
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(fixture.st.Accounts.Check(), ShouldBeNil)
	})
}
