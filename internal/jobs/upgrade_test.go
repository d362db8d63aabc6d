package jobs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/codec"
)

// oldHistory holds changes that the code of commit 72ad61c, a release without schemas, applied to testTable, its answers
// and the table that resulted. The queues are removed, renamed and added again in between.
type oldHistory struct {
	Changes []struct {
		Op     string          `json:"op"`
		Change json.RawMessage `json:"change"`
		Answer string          `json:"answer"`
	} `json:"changes"`
	Table json.RawMessage `json:"table"`
}

// decodeAs decodes a change of type C.
func decodeAs[C any](data []byte) any {
	var change C
	must(codec.Decode(data, &change))
	return change
}

var oldChanges = map[string]func([]byte) any{
	"jobs.Submit":    decodeAs[Submit],
	"jobs.Cancel":    decodeAs[Cancel],
	"jobs.Configure": decodeAs[Configure],
	"jobs.Evacuate":  decodeAs[Evacuate],
	"jobs.Register":  decodeAs[Register],
	"jobs.Progress":  decodeAs[Progress],
	"time.Time":      decodeAs[time.Time],
}

// readOldHistories reads testdata/changes-72ad61c.jsonl, which must never be regenerated.
func readOldHistories() (histories []oldHistory) {
	file, err := os.Open("testdata/changes-72ad61c.jsonl")
	must(err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var history oldHistory
		must(json.Unmarshal(lines.Bytes(), &history))
		histories = append(histories, history)
	}
	must(lines.Err())
	return histories
}

// TestOldEntries guards against a node that applies entries of an earlier release differently from nodes of that
// release, so that their tables diverge while a fleet is upgraded, or after a log was replayed.
func TestOldEntries(t *testing.T) {
	Convey("Entries of an earlier release have the answers and the table that they had there", t, func() {
		histories := readOldHistories()
		So(len(histories), ShouldBeGreaterThan, 5)
		for i, history := range histories {
			table := testTableBeforeSchemas()
			for k, line := range history.Changes {
				So(fmt.Sprint(i, k, apply(table, oldChanges[line.Op](line.Change))), ShouldEqual, fmt.Sprint(i, k, line.Answer))
			}
			So(table.bytes(), ShouldEqual, string(history.Table))
			Convey(fmt.Sprintf("and its jobs are served after an upgrade and a change of the configuration: history %d", i), func() {
				before := table.decodedCopy()
				must(table.UpgradeSchema(UpgradeSchema{Schema: NewestSchema}))
				removeAll := Configure{Base: table.Config.Version, Version: table.Config.Version + 1, Replace: true}
				must(table.Configure(removeAll))
				for id, job := range table.Jobs {
					if job.Rounds != nil && before.QueueOf(before.Jobs[id]) != nil {
						So(table.QueueOf(job).Service, ShouldEqual, before.QueueOf(before.Jobs[id]).Service)
					}
				}
			})
		}
	})
}
