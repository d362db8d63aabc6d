// Package golden pins what a program shows to other processes and to its operators in text files that tests compare:
// shapes of JSON bodies, encoded values, commands and names. The texts hold labels given by the test, keys, kinds and
// values, never Go packages or names of Go types, so that they stay as they are when code is moved and renamed. The
// package imports nothing of crosstide: the tests inside any package may use it. Test with -update to write the files
// anew.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Compare fails unless the parts, in their order, are the text of testdata/NAME.golden. Example:
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
	kept, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := string(kept); got != want {
		t.Errorf("%s differs; what other processes, files or operators see has changed:\n%s",
			path, difference(want, got))
	}
}

// difference lists the lines that only one of two texts has, each under the newest heading before it.
func difference(want, got string) string {
	var out strings.Builder
	for _, side := range []struct{ sign, text, other string }{{"- ", want, got}, {"+ ", got, want}} {
		other, heading := headed(side.other), ""
		for _, line := range strings.Split(side.text, "\n") {
			if strings.HasPrefix(line, "# ") {
				heading = line
			}
			if !other[heading+"\n"+line] {
				fmt.Fprintf(&out, "%s%s: %s\n", side.sign, heading, line)
			}
		}
	}
	if out.Len() == 0 {
		return "the same lines in another order or number"
	}
	return out.String()
}

func headed(text string) map[string]bool {
	out, heading := map[string]bool{}, ""
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "# ") {
			heading = line
		}
		out[heading+"\n"+line] = true
	}
	return out
}

// Lines is a section of lines under a label, as they come.
func Lines(label string, lines ...string) string {
	return "# " + label + "\n" + strings.Join(append(lines, ""), "\n")
}
