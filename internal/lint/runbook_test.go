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

// daemonFolders hold the code of the daemons; the golden package's walkers leave the testbed out.
var daemonFolders = []string{"internal", "platform", "cmd/crosstide-controlplane", "cmd/crosstide-dataplane"}

// The page for on-call engineers has a row for every log line at warn and error, at the level that the code has, and
// no row for a line that the code does not log. Lines at info may have a row.
func TestRunbook_has_every_log_line_at_warn_and_error(t *testing.T) {
	type line struct{ level, message string }
	logged, rows := map[line]string{}, map[line]bool{}
	for _, folder := range daemonFolders {
		for _, found := range golden.LeveledMessages(t, "../../"+folder) {
			logged[line{found.Level, found.Message}] = found.Package
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
	for found, pkg := range logged {
		if found.level != "warn" && found.level != "error" {
			continue
		}
		required++
		if found.message == "" {
			t.Errorf("package %s: a log line at %s whose msg is no string literal: use a literal", pkg, found.level)
		} else if !rows[found] {
			t.Errorf("%s: add a row | `%s` | %s | … |: package %s logs it", runbookPage, found.message, found.level, pkg)
		}
	}
	if required < 20 {
		t.Errorf("only %d log lines at warn and error were found in the code", required)
	}
}

// The page has a row for every metric of the daemons and none for another. The names are those that the packages'
// metrics.golden files list, which their own tests compare with the collectors; a literal of the code that no such file
// knows, whole or as the part before what is joined to it, is missing there.
func TestRunbook_has_every_metric(t *testing.T) {
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

// exportedMetrics returns the names in the metrics.golden files of the packages.
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
		for _, found := range metricName.FindAllStringSubmatch(string(text), -1) {
			names[found[1]] = true
		}
	}
	if len(names) < 40 {
		t.Fatalf("only %d metrics were found in %d files", len(names), len(files))
	}
	return names
}

// tableRows returns the cells of the rows of all tables of a page whose first heading is the one given; no such table is
// no row.
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

func backticked(cell string) []string {
	var out []string
	for _, found := range inBackticks.FindAllStringSubmatch(cell, -1) {
		out = append(out, found[1])
	}
	return out
}
