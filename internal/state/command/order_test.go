package command

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestOrders_repeated(t *testing.T) {
	Convey("A repeated order gets the first answer and is not applied; another order with its ID conflicts", t, func() {
		s := newTestState()
		first, err := s.do(&EvacuateZone{Order: "o", Zone: "z1", Start: true})
		So(err, ShouldBeNil)
		s.do(&EvacuateZone{Order: "p", Zone: "z1"})
		again, err := s.do(&EvacuateZone{Order: "o", Zone: "z1", Start: true})
		So(err, ShouldBeNil)
		So(fmt.Sprint(again), ShouldEqual, fmt.Sprint(first))
		So(s.Evacuated, ShouldBeEmpty) // not applied a second time
		_, err = s.do(&EvacuateZone{Order: "o", Zone: "z2", Start: true})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
	})
}

// TestOrders_storedAnswers pins the exact bytes of stored answers: they are part of snapshots, which must be equal on
// nodes that run different versions of the program.
func TestOrders_storedAnswers(t *testing.T) {
	Convey("The stored answers of orders that change workers, members and zones have fixed bytes", t, func() {
		s := newTestState()
		for _, test := range []struct {
			order  Command
			answer string
		}{
			{&CloseWorker{Order: "o1", Worker: "m1", Closed: true}, `{"closed":true,"minion":"m1"}`},
			{&CloseWorker{Order: "o2", Worker: "m<2", Closed: true}, ``},
			{&CloseWorker{Order: "o3", Worker: "m1", Retire: true}, `{"minion":"m1","retired":true}`},
			{&ReplaceMember{Order: "o4", Old: "c2", New: "c4"}, `{"new":"c4","old":"c2"}`},
			{&ReplaceMember{Order: "o5", Old: "c&3", New: "c5"}, `{"new":"c5","old":"c\u00263"}`},
			{&EvacuateZone{Order: "o6", Zone: "z1", Start: true}, `{"zone":"z1","evacuated":true}`},
		} {
			answer, err := s.do(test.order)
			if test.answer == "" {
				So(errs.KindOf(err), ShouldEqual, errs.Unknown)
				continue
			}
			So(err, ShouldBeNil)
			So(string(answer.(json.RawMessage)), ShouldEqual, test.answer)
		}
		So(s.OrderKeys, ShouldResemble, []string{"o1", "o3", "o4", "o5", "o6"})
		So(string(s.Orders["o1"].Answer), ShouldEqual, `{"closed":true,"minion":"m1"}`)
		So(s.Orders["o1"].Digest, ShouldEqual,
			"close:31b187e9316ee7a7025ac60019d0582d0449b8bbce89ffd591005cef9a30a458")
	})
}
