package jobsnode

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

func TestDataPlaneNode_limits(t *testing.T) {
	Convey("The limits of a configuration are put in force; those that cannot be read change nothing", t, func() {
		options := dataPlaneOptions()
		options.RaiseLimits = func(defaults rpc.Limits, configured json.RawMessage) (rpc.Limits, error) {
			So(defaults, ShouldResemble, clientLimits.WithDefaults())
			err := json.Unmarshal(configured, &defaults.BodyBytes)
			return defaults, errs.Wrap(err, errs.Malformed, "limits")
		}
		node, err := NewDataPlaneNode(options)
		So(err, ShouldBeNil)
		defer node.caller.Close()
		So(node.clientServer.BodyLimit(), ShouldEqual, clientLimits.BodyBytes)
		node.applyLimits(json.RawMessage("2000000"))
		So(node.clientServer.BodyLimit(), ShouldEqual, 2_000_000)
		node.applyLimits(json.RawMessage("{}"))
		node.applyLimits(nil)
		So(node.clientServer.BodyLimit(), ShouldEqual, 2_000_000)
	})
}
