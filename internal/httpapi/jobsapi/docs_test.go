package jobsapi

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
)

// page is the operators' page whose examples must be taken as they stand there.
const page = "../../../docs/ops/jobs.md"

// between returns all texts that stand between two marks.
func between(text, open, end string) []string {
	var out []string
	for {
		_, rest, found := strings.Cut(text, open)
		if !found {
			return out
		}
		one, after, found := strings.Cut(rest, end)
		So(found, ShouldBeTrue)
		out, text = append(out, one), after
	}
}

func TestDocumentedExamples(t *testing.T) {
	Convey("Every example of the operators' page is accepted", t, func() {
		data, err := os.ReadFile(page)
		So(err, ShouldBeNil)
		text := string(data)

		fences := between(text, "```json\n", "```")
		So(len(fences), ShouldEqual, 2)
		settings := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(settings, []byte(fences[0]), 0o600), ShouldBeNil)
		core, err := config.LoadJobsControlPlane(settings)
		So([]any{core.Control, err}, ShouldResemble, []any{"10.0.1.10:7200", nil})
		heartbeat, err := parseHeartbeat("w", []byte(fences[1]))
		So([]any{heartbeat.Worker.Rack, err}, ShouldResemble, []any{"r7", nil})

		submitted := between(text, "/v2/jobs -d '", "'\n")
		So(len(submitted), ShouldEqual, 1)
		spec, _, err := ParseJob([]byte(submitted[0]))
		So([]any{len(spec.Steps), spec.Rounds, err}, ShouldResemble, []any{3, 8, nil})

		changes := between(text, "echo '", "' |")
		So(len(changes), ShouldEqual, 2)
		put, err := parsePut([]byte(changes[0]))
		So([]any{put.Version, err}, ShouldResemble, []any{uint64(1), nil})
		patch, err := parsePatch([]byte(changes[1]))
		So([]any{patch.Version, err}, ShouldResemble, []any{uint64(2), nil})
	})
}
