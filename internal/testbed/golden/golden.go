// Package golden compares the external interfaces of a program with golden files: shapes of JSON bodies, encoded
// values, commands and names. The files contain labels given by the test, keys, kinds and values, but no names of Go
// packages or types, so they do not change when code is moved or renamed. The package imports nothing of crosstide, so
// the internal tests of any package may use it. Run the tests with -update to rewrite the files.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Compare fails the test unless testdata/NAME.golden consists of the parts in the given order. Example:
//
//	golden.Compare(t, "wire", golden.Shape("start call", StartCall{}))
func Compare(t *testing.T, name string, parts ...string) {
	t.Helper()
	got := strings.Join(parts, "\n")
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := string(stored); got != want {
		t.Errorf("%s differs: an interface to other processes, stored files or operators has changed:\n%s",
			path, difference(want, got))
	}
}

// difference lists the lines that only one of two texts has, each with the heading of its section.
func difference(want, got string) string {
	var out strings.Builder
	for _, side := range []struct{ sign, text, other string }{{"- ", want, got}, {"+ ", got, want}} {
		otherLines, heading := linesWithHeadings(side.other), ""
		for _, line := range strings.Split(side.text, "\n") {
			if strings.HasPrefix(line, "# ") {
				heading = line
			}
			if !otherLines[heading+"\n"+line] {
				fmt.Fprintf(&out, "%s%s: %s\n", side.sign, heading, line)
			}
		}
	}
	if out.Len() == 0 {
		return "the same lines in another order or number"
	}
	return out.String()
}

// linesWithHeadings returns the set of lines of text, each preceded by the heading of its section.
func linesWithHeadings(text string) map[string]bool {
	lines, heading := map[string]bool{}, ""
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "# ") {
			heading = line
		}
		lines[heading+"\n"+line] = true
	}
	return lines
}

// Lines returns a section with a heading and the lines in the given order.
func Lines(label string, lines ...string) string {
	return "# " + label + "\n" + strings.Join(append(lines, ""), "\n")
}
