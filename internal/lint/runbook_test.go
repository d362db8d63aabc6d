package lint

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"crosstide/internal/testbed/golden"
)

const runbookPage = "docs/ops/metrics-and-logs.md"

// daemonFolders contain the code of the daemons. Package golden skips the testbed below them.
var daemonFolders = []string{"internal", "platform", "cmd/crosstide-controlplane", "cmd/crosstide-dataplane"}

// The on-call page must have a row for every log message at warn and error, with the level used in the code, and no row
// for a message that is not logged at that level. Messages at info may have a row.
func TestRunbook_listsEveryWarningAndError(t *testing.T) {
	type line struct{ level, message string }
	logged, rows := map[line]string{}, map[line]bool{}
	for _, folder := range daemonFolders {
		for _, call := range golden.LeveledMessages(t, "../../"+folder) {
			logged[line{call.Level, call.Message}] = call.Package
		}
	}
	for _, cells := range tableRows(t, runbookPage, "message") {
		for _, message := range backticked(cells[0]) {
			row := line{strings.TrimSpace(cells[1]), message}
			if rows[row] {
				t.Errorf("%s: remove the second row of %q at %s", runbookPage, message, row.level)
			}
			rows[row] = true
			if logged[row] == "" {
				t.Errorf("%s: remove the row | `%s` | %s |: no daemon logs it at this level", runbookPage, message, row.level)
			}
		}
	}
	required := 0
	for call, pkg := range logged {
		if call.level != "warn" && call.level != "error" {
			continue
		}
		required++
		if call.message == "" {
			t.Errorf("package %s: a log line at %s whose msg is not a string literal: use a literal", pkg, call.level)
		} else if !rows[call] {
			t.Errorf("%s: add a row | `%s` | %s | … |: package %s logs it", runbookPage, call.message, call.level, pkg)
		}
	}
	if required < 20 {
		t.Errorf("only %d log lines at warn and error were found in the code", required)
	}
}

// The on-call page must have a row for every metric of the daemons and no other rows. The names come from the packages'
// metrics.golden files, which their own tests compare with the collectors. A string literal in the code that is neither
// a listed name nor a prefix of one shows that a metric is missing from these files.
func TestRunbook_listsEveryMetric(t *testing.T) {
	exported, rows := exportedMetrics(t), map[string]bool{}
	for _, cells := range tableRows(t, runbookPage, "metric") {
		for _, name := range backticked(cells[0]) {
			name, _, _ = strings.Cut(name, "{")
			if rows[name] {
				t.Errorf("%s: remove the second row of %s", runbookPage, name)
			}
			rows[name] = true
			if !exported[name] {
				t.Errorf("%s: remove the row of %s: no daemon exports it", runbookPage, name)
			}
		}
	}
	for name := range exported {
		if !rows[name] {
			t.Errorf("%s: add a row of %s: a daemon exports it", runbookPage, name)
		}
	}
	for _, folder := range daemonFolders {
		list := golden.Literals(t, folder, "../../"+folder, `^crosstide_[a-z_]+$`)
		for _, literal := range strings.Fields(list)[2:] { // after the heading "# folder"
			if !isMetricOrPrefix(literal, exported) {
				t.Errorf("%s names %s, which no metrics.golden lists: add its collector to its package's golden test",
					folder, literal)
			}
		}
	}
}

// isMetricOrPrefix reports whether literal is an exported metric, or a prefix of one that ends with an underscore.
func isMetricOrPrefix(literal string, exported map[string]bool) bool {
	if exported[literal] {
		return true
	}
	for name := range exported {
		if strings.HasSuffix(literal, "_") && strings.HasPrefix(name, literal) {
			return true
		}
	}
	return false
}

var metricName = regexp.MustCompile(`fqName: "(crosstide_[a-z_]+)"`)

// exportedMetrics returns the metric names in the packages' metrics.golden files.
func exportedMetrics(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	files, err := filepath.Glob("../*/testdata/metrics.golden")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range metricName.FindAllStringSubmatch(string(text), -1) {
			names[match[1]] = true
		}
	}
	if len(names) < 40 {
		t.Fatalf("only %d metrics were found in %d files", len(names), len(files))
	}
	return names
}

// tableRows returns the cells of the rows of all tables on a page whose first column has the given heading, or nil if
// no table has it.
func tableRows(t *testing.T, name, heading string) [][]string {
	t.Helper()
	page, err := os.ReadFile("../../" + name)
	if err != nil {
		t.Fatal(err)
	}
	rows, current := [][]string(nil), ""
	for _, text := range strings.Split(string(page), "\n") {
		cells := strings.Split(text, "|")
		switch {
		case len(cells) < 4:
			current = ""
		case current == "":
			current = strings.TrimSpace(cells[1])
		case current == heading && !strings.HasPrefix(cells[1], "---"):
			rows = append(rows, cells[1:len(cells)-1])
		}
	}
	return rows
}

var inBackticks = regexp.MustCompile("`([^`]+)`")

// backticked returns the texts in backticks in a cell.
func backticked(cell string) []string {
	var texts []string
	for _, match := range inBackticks.FindAllStringSubmatch(cell, -1) {
		texts = append(texts, match[1])
	}
	return texts
}
