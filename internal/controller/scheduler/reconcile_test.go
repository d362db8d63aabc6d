package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestIsProvedDead(t *testing.T) {
	Convey("A run that the answer to renewal 10 does not list", t, func() {
		for _, tt := range []struct {
			name string
			run  run
			dead bool
		}{
			{"of an earlier term is dead: the renewal has fenced its leader", run{start: startState{sent: true}}, true},
			{"whose order was not sent is not dead: it will be sent", run{ownTerm: true}, false},
			{"whose order is in flight is not dead", run{ownTerm: true, start: startState{sent: true}}, false},
			{"whose start is unconfirmed is not dead: the order may be carried out late",
				run{ownTerm: true, start: startState{sent: true, unconfirmedSeq: 9}}, false},
			{"whose start was accepted before the renewal was sent is dead",
				run{ownTerm: true, start: startState{sent: true, acceptedSeq: 9}}, true},
			{"whose start was accepted after the renewal was sent is not dead: the list may be older",
				run{ownTerm: true, start: startState{sent: true, acceptedSeq: 11}}, false},
			{"whose stop was answered before the renewal was sent is dead",
				run{ownTerm: true, start: startState{sent: true, unconfirmedSeq: 7}, stop: stopState{answeredSeq: 9}}, true},
			{"whose stop was answered after the renewal was sent is not proved dead",
				run{ownTerm: true, start: startState{sent: true, unconfirmedSeq: 7}, stop: stopState{answeredSeq: 11}}, false},
		} {
			Convey(tt.name, func() { So(tt.run.isProvedDead(10), ShouldEqual, tt.dead) })
		}
	})
}
