package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
	return path
}

// invalidFields returns the fields of all ValidationErrors in err, separated by spaces.
func invalidFields(err error) string {
	var invalid ValidationErrors
	if !errors.As(err, &invalid) {
		return ""
	}
	var fields []string
	for _, validationError := range invalid {
		fields = append(fields, validationError.Field)
	}
	return strings.Join(fields, " ")
}

// jobsControlPlaneJSON returns valid settings of ControlPlane, with section appended to its fields.
func jobsControlPlaneJSON(section string) string {
	return `{"name":"c1","zone":"z","region":"r","addr":"127.0.0.1:7101","seeds":["127.0.0.1:7102"],"data":"d",
		"members":[{"id":"c1","addr":"127.0.0.1:7101","zone":"z"}]` + section + `}`
}

func TestJobsControlPlane_load(t *testing.T) {
	Convey("A control-plane node's settings are those of the policy deployment and the section jobs", t, func() {
		section := `,"election":"2s","jobs":{"control":"127.0.0.1:7201","lease":"6s","remote_factor":2,"memory_mb":64}`
		set, err := LoadJobsControlPlane(writeSettings(t, jobsControlPlaneJSON(section)))
		So(err, ShouldBeNil)
		got := []any{set.Name, set.ElectionTimeout, set.Control, set.Scheduler.Lease, set.Scheduler.PollWait,
			set.Scheduler.RemoteFactor, set.KeepFinished, set.MemoryMB}
		So(got, ShouldResemble, []any{"c1", 2 * time.Second, "127.0.0.1:7201", 6 * time.Second, time.Second,
			2.0, 10 * time.Minute, 64})
		So(CheckJobsControlPlane(set), ShouldBeNil)
		set.Control = set.Addr
		So(invalidFields(CheckJobsControlPlane(set)), ShouldEqual, "jobs.control")
	})
	Convey("All errors are reported at once, each with its field", t, func() {
		for _, c := range []struct{ section, fields string }{
			{``, "jobs"},
			{`,"jobs":7`, "jobs"},
			{`,"jobs":{}`, "jobs.control"},
			{`,"jobs":{"control":"here"}`, "jobs.control"},
			{`,"jobs":{"control":"127.0.0.1:7101"}`, "jobs.control"},
			{`,"jobs":{"control":"127.0.0.1:7201","lease":"2s"}`, "jobs.hold_wait"},
			{`,"jobs":{"control":"127.0.0.1:7201","forget_after":"5s"}`, "jobs.forget_after"},
			{`,"jobs":{"control":"127.0.0.1:7201","color":1,"silence":4,"remote_factor":0.5}`,
				"jobs.silence jobs.remote_factor jobs.color"},
			{`,"jobs":{"control":"127.0.0.1:7201","keep_over":"-1s","call_timeout":"0s","early_start":"x"}`,
				"jobs.call_timeout jobs.keep_over jobs.early_start"},
			{`,"lease":"9s","jobs":{"control":"127.0.0.1:7201","lapse_margin":"2h"}`, "lease jobs.lapse_margin"},
		} {
			_, err := LoadJobsControlPlane(writeSettings(t, jobsControlPlaneJSON(c.section)))
			So(c.section+" "+invalidFields(err), ShouldEqual, c.section+" "+c.fields)
		}
	})
}

func TestJobsDataPlane_load(t *testing.T) {
	Convey("A data-plane node's settings load, and errors are reported with their fields", t, func() {
		const required = `"name":"d1","zone":"z","region":"r","addr":"127.0.0.1:7001"`
		set, err := LoadJobsDataPlane(writeSettings(t, `{`+required+`,"core":["127.0.0.1:7101"],"call_timeout":"5s"}`))
		So(err, ShouldBeNil)
		So([]any{set.ControlPlaneAddresses(), set.CallTimeout}, ShouldResemble,
			[]any{[]string{"127.0.0.1:7101"}, 5 * time.Second})
		So(CheckJobsDataPlane(set), ShouldBeNil)
		set, err = LoadJobsDataPlane(writeSettings(t, `{`+required+`,"seeds":["127.0.0.1:7102"]}`))
		So([]any{set.ControlPlaneAddresses(), err}, ShouldResemble, []any{[]string{"127.0.0.1:7102"}, nil})
		for text, fields := range map[string]string{
			`{` + required + `}`:                                        "core",
			`{"core":["127.0.0.1:7101"]}`:                               "name zone region addr",
			`{` + required + `,"core":["x"],"call_timeout":1,"hold":1}`: "core[0] core call_timeout hold",
		} {
			_, err := LoadJobsDataPlane(writeSettings(t, text))
			So(text+" "+invalidFields(err), ShouldEqual, text+" "+fields)
		}
	})
}
