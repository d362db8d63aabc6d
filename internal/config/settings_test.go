package config

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// Public keys of two operators, as JSON.
const (
	firstKey  = `"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="`
	secondKey = `"AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="`
)

const controlPlaneJSON = `{"name":"c1","zone":"a","region":"r","addr":"10.0.0.1:7000","seeds":["10.0.0.2:7000"],
"data":"d","members":[{"id":"c1","addr":"10.0.0.1:7000","zone":"a"},{"id":"c2","addr":"10.0.0.2:7000","zone":"b"}],
"lease":"800ms","queue_limit":7,
"operator_keys":[{"name":"o","key":` + firstKey + `},{"name":"p","key":` + secondKey + `}]}`

const dataPlaneJSON = `{"name":"d1","zone":"a","region":"r","addr":"10.0.1.1:7000","core":["10.0.0.1:7000"],
"sick_share":9}`

func TestPolicyDeployment_load(t *testing.T) {
	Convey("Valid files load, missing settings get their defaults, and changed values are validated again", t, func() {
		c, err := LoadControlPlane(writeSettings(t, controlPlaneJSON))
		So(err, ShouldBeNil)
		got := []any{c.Lease, c.ElectionTimeout, c.QueueLimit, c.KeepTombstonesFor, c.Grace, c.Members[1].Zone,
			len(c.OperatorKeys)}
		So(got, ShouldResemble, []any{800 * time.Millisecond, time.Second, 7, 168 * time.Hour, 5 * time.Second, "b", 2})
		So(CheckControlPlane(c), ShouldBeNil)
		c.OperatorKeys = append(c.OperatorKeys, OperatorKey{"q", c.OperatorKeys[0].Key})
		So(errorLines(CheckControlPlane(c)), ShouldHaveLength, 1) // one key under two names
		c.OperatorKeys = c.OperatorKeys[:1]
		So(errorLines(CheckControlPlane(c)), ShouldResemble,
			[]string{"operator_keys: must be empty or have at least two items: two operators sign each bundle"})
		c.OperatorKeys = nil
		c.Lease, c.Addr, c.Members[1].Addr, c.LogLevel = time.Second, "", c.Members[0].Addr, "loud"
		So(errorLines(CheckControlPlane(c)), ShouldResemble, []string{
			`addr: must be an address like "10.0.0.7:7000", is ""`,
			`log_level: must be one of debug, info, warn, error, is "loud"`,
			`members[1].addr: must differ from members[0], both are "10.0.0.1:7000"`,
			`lease: must be less than election (1s), is 1s`,
		})
		d, err := LoadDataPlane(writeSettings(t, dataPlaneJSON))
		So(err, ShouldBeNil)
		So([]any{d.MaxUnhealthyShare, d.RunLease, d.Lateness}, ShouldResemble,
			[]any{9, 20 * time.Second, 2 * time.Second})
		d.ControlPlanes, d.LeaseMargin = nil, 3*time.Second
		So(errorLines(CheckDataPlane(d)), ShouldResemble, []string{
			"core: must be given if there are no seeds", "lease_margin: must be less than duty_lease (3s), is 3s"})
	})
	Convey("Open membership is off by default and requires that node names are IPs", t, func() {
		c, err := LoadControlPlane(writeSettings(t, controlPlaneJSON))
		So(err, ShouldBeNil)
		So([]any{c.OpenMembership, c.Bootstrap, c.RemoveAfter}, ShouldResemble, []any{false, true, 3 * time.Second})
		text := strings.NewReplacer(
			`"name":"c1"`, `"open_membership":true,"founding":false,"remove_after":"4s","name":"10.0.0.1"`,
			`"id":"c1"`, `"id":"10.0.0.1"`, `"id":"c2"`, `"id":"10.0.0.2"`).Replace(controlPlaneJSON)
		c, err = LoadControlPlane(writeSettings(t, text))
		So(err, ShouldBeNil)
		So([]any{c.OpenMembership, c.Bootstrap, c.RemoveAfter}, ShouldResemble, []any{true, false, 4 * time.Second})
		c.Name, c.Members[1].ID, c.RemoveAfter = "c1", "c2", time.Second
		So(errorLines(CheckControlPlane(c)), ShouldResemble, []string{
			`name: must be the IP of addr (10.0.0.1) with open_membership, is "c1"`,
			`members[1].id: must be the IP of addr (10.0.0.2) with open_membership, is "c2"`,
			"remove_after: must be greater than election (1s), is 1s",
		})
		for i := range 2 {
			ip := fmt.Sprintf("10.0.0.%d", i+3)
			c.Members = append(c.Members, Member{ID: ip, Addr: ip + ":7000", Zone: "a"})
		}
		So(errorLines(CheckControlPlane(c))[0], ShouldEqual,
			"members: must have at most 3 items with open_membership, got 4")
	})
	Convey("All errors in a settings file are reported together, and old names with the new ones", t, func() {
		text := strings.NewReplacer(`"800ms"`, `"150ms"`, `"queue_limit":7`, `"queue_limit":-1`, firstKey, `"QQ=="`,
			`"seeds":["10.0.0.2:7000"]`, `"seeds":[]`).Replace(controlPlaneJSON)
		_, err := LoadControlPlane(writeSettings(t, text))
		So(errorLines(err), ShouldResemble, []string{
			"seeds: must be 1 to 3 addresses, got 0",
			"queue_limit: must be from 1 to 1073741824, is -1",
			`operator_keys[0].key: must be the base64 of 32 bytes, is "QQ=="`,
			"heartbeat: must be less than half of lease (150ms), is 100ms",
		})
		text = strings.Replace(controlPlaneJSON, `"queue_limit":7`, `"backlog":7,"slot_every":9`, 1)
		_, err = LoadControlPlane(writeSettings(t, text))
		So(errorLines(err), ShouldResemble,
			[]string{"slot_every: is now named snapshot_every", "backlog: is now named queue_limit"})
		_, err = LoadControlPlane(filepath.Join(t.TempDir(), "none"))
		So(errs.Is(err, errs.Settings), ShouldBeTrue)
	})
}
