package jobsapi

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
)

// operatorsPage is the page for operators. The API must accept its examples verbatim.
const operatorsPage = "../../../docs/ops/jobs.md"

// between returns the substrings of text between each marker start and the marker end that follows it.
func between(text, start, end string) []string {
	var substrings []string
	for {
		_, rest, found := strings.Cut(text, start)
		if !found {
			return substrings
		}
		substring, after, found := strings.Cut(rest, end)
		So(found, ShouldBeTrue)
		substrings, text = append(substrings, substring), after
	}
}

func TestDocumentedExamples(t *testing.T) {
	Convey("Every example of the operators' page is accepted", t, func() {
		data, err := os.ReadFile(operatorsPage)
		So(err, ShouldBeNil)
		text := string(data)

		codeBlocks := between(text, "```json\n", "```")
		So(len(codeBlocks), ShouldEqual, 2)
		settings := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(settings, []byte(codeBlocks[0]), 0o600), ShouldBeNil)
		core, err := config.LoadJobsControlPlane(settings)
		So([]any{core.Control, err}, ShouldResemble, []any{"10.0.1.10:7200", nil})
		heartbeat, err := parseHeartbeat("w", []byte(codeBlocks[1]))
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
