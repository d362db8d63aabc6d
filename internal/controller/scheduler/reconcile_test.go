package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestIsProvedDead(t *testing.T) {
	Convey("A run that the answer to renewal 10 does not list", t, func() {
		for _, c := range []struct {
			name string
			run  run
			dead bool
		}{
			{"of an earlier term is dead: the renewal has fenced its leader", run{start: startState{sent: true}}, true},
			{"whose order has not left is not: it will leave", run{ownTerm: true}, false},
			{"whose order is in flight is not", run{ownTerm: true, start: startState{sent: true}}, false},
			{"whose start is unconfirmed is not: the order may be carried out late",
				run{ownTerm: true, start: startState{sent: true, unconfirmedSeq: 9}}, false},
			{"whose start was accepted before the renewal left is dead",
				run{ownTerm: true, start: startState{sent: true, acceptedSeq: 9}}, true},
			{"whose start was accepted after it left is not: the list may be older",
				run{ownTerm: true, start: startState{sent: true, acceptedSeq: 11}}, false},
			{"whose stop was answered before the renewal left is dead",
				run{ownTerm: true, start: startState{sent: true, unconfirmedSeq: 7}, stop: stopState{answeredSeq: 9}}, true},
			{"whose stop was answered after it left is not yet",
				run{ownTerm: true, start: startState{sent: true, unconfirmedSeq: 7}, stop: stopState{answeredSeq: 11}}, false},
		} {
			Convey(c.name, func() { So(c.run.isProvedDead(10), ShouldEqual, c.dead) })
		}
	})
}
