package journal

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// readRunIDs returns the run IDs of the valid lines of a journal folder, and the error kinds of the others.
func readRunIDs(dir string) (runIDs []uint64, kinds []errs.Kind) {
	for line, err := range Lines(dir) {
		if err != nil {
			kinds = append(kinds, errs.KindOf(err))
			continue
		}
		e, err := line.Entry()
		So(err, ShouldBeNil)
		runIDs = append(runIDs, e.RunID)
	}
	return runIDs, kinds
}

func TestWriterAndLines(t *testing.T) {
	Convey("Lines are read in order of writing; an incomplete last line is skipped, and removed by Open", t, func() {
		dir := t.TempDir()
		path := filepath.Join(dir, "journal", "m1.jsonl")
		w, err := Open(path)
		So(err, ShouldBeNil)
		for n := range uint64(3) {
			So(w.Append(Entry{Event: Start, RunID: n + 1}), ShouldBeNil)
		}
		So(w.Close(), ShouldBeNil)

		data, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(os.WriteFile(path, append(data, `{"ev":"sta`...), 0o644), ShouldBeNil)
		runIDs, kinds := readRunIDs(dir)
		So(runIDs, ShouldResemble, []uint64{1, 2, 3})
		So(kinds, ShouldBeEmpty)

		w, err = Open(path)
		So(err, ShouldBeNil)
		So(w.Append(Entry{Event: NewIncarnation, RunID: 4}), ShouldBeNil)
		So(w.Close(), ShouldBeNil)
		runIDs, kinds = readRunIDs(dir)
		So(runIDs, ShouldResemble, []uint64{1, 2, 3, 4})
		So(kinds, ShouldBeEmpty)
	})

	Convey("A complete line that is not valid JSON is yielded as Damaged", t, func() {
		dir := t.TempDir()
		So(os.Mkdir(filepath.Join(dir, "journal"), 0o755), ShouldBeNil)
		lines := []byte("{\"ticket\":1}\n{\"ti\n{\"ticket\":2}\n")
		So(os.WriteFile(filepath.Join(dir, "journal", "m.jsonl"), lines, 0o644), ShouldBeNil)
		runIDs, kinds := readRunIDs(dir)
		So(runIDs, ShouldResemble, []uint64{1, 2})
		So(kinds, ShouldResemble, []errs.Kind{errs.Damaged})
	})
}
