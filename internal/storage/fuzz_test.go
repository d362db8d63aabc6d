package storage

import (
	"fmt"
	"testing"

	"crosstide/internal/errs"
)

// FuzzOpen opens a folder whose files have arbitrary content. It checks that Open does not panic, returns only records
// with a correct checksum, and returns the same records when called again.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, segment1, segment2, snapshotA, snapshotB []byte) {
		segments := [][]byte{segment1, segment2}
		d := fuzzedFolder(segments, [][]byte{snapshotA, snapshotB})
		_, recovered, err := Open(d, virtual)
		if errs.Is(err, errs.Damaged) {
			return
		}
		if err != nil {
			t.Fatalf("error is not of kind Damaged: %v", err)
		}
		valid := validRecords(segments)
		for _, r := range recovered.Records {
			if !valid[fmt.Sprint(r)] {
				t.Fatalf("recovered record is in no file: %v", r)
			}
		}
		_, again, err := Open(d, virtual)
		if recovered.TornBytes = 0; err != nil || fmt.Sprint(recovered.Records) != fmt.Sprint(again.Records) {
			t.Fatalf("first Open recovered %v, second Open %v (error: %v)", recovered, again, err)
		}
	})
}

// fuzzedFolder returns a folder with the given files, without the empty ones.
func fuzzedFolder(segments, snapshots [][]byte) *MemDisk {
	d := NewMemDisk()
	put := func(name string, content []byte) {
		if len(content) > 0 {
			d.Put(name, content)
		}
	}
	for i, content := range segments {
		put(segment{number: uint64(i + 1)}.name(), content)
	}
	for i, content := range snapshots {
		put(snapshotFileNames[i], content)
	}
	return d
}

// validRecords returns the text of every valid record that starts at any offset of the segments.
func validRecords(segments [][]byte) map[string]bool {
	valid := map[string]bool{}
	for i, content := range segments {
		for offset := range content {
			if r, _, ok := recordAt(content, uint64(i+1), offset); ok {
				valid[fmt.Sprint(r)] = true
			}
		}
	}
	return valid
}

func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { appendGroups(b, n) })
	}
}

// appendGroups appends groups of n records of 200 bytes to a folder in the file system.
func appendGroups(b *testing.B, n int) {
	b.Helper()
	check := func(err error) {
		b.Helper()
		if err != nil {
			b.Fatal(err)
		}
	}
	d, err := OSDisk(b.TempDir())
	check(err)
	s, _, err := Open(d, Options{})
	check(err)
	records, next := make([]Record, n), uint64(1)
	for b.Loop() {
		for i := range records {
			records[i] = Record{Term: 1, Index: next, Data: make([]byte, 200)}
			next++
		}
		check(s.Append(records))
	}
	b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
	check(s.Close())
}
