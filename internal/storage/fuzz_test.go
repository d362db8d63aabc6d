package storage

import (
	"fmt"
	"testing"

	"crosstide/internal/errs"
)

// FuzzOpen reads any bytes as files of the folder: no panic, only records whose checksum is right, and what was
// opened opens again to the same.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, log1, log2, snapshotA, snapshotB []byte) {
		d := NewMemDisk()
		files := [][]byte{log1, log2}
		for i, all := range [][]byte{log1, log2, snapshotA, snapshotB} {
			name := segment{number: uint64(i + 1)}.name()
			if i > 1 {
				name = snapshotFileNames[i-2]
			}
			if len(all) > 0 {
				d.Put(name, all)
			}
		}
		_, recovered, err := Open(d, virtual)
		if err != nil {
			if !errs.Is(err, errs.Damaged) {
				t.Fatalf("not damage: %v", err)
			}
			return
		}
		valid := map[string]bool{}
		for i, all := range files {
			for at := range all {
				if r, _, ok := recordAt(all, uint64(i+1), at); ok {
					valid[fmt.Sprintf("%v", r)] = true
				}
			}
		}
		for _, r := range recovered.Records {
			if !valid[fmt.Sprintf("%v", r)] {
				t.Fatalf("a record that no file holds: %v", r)
			}
		}
		_, again, err := Open(d, virtual)
		if recovered.TornBytes = 0; err != nil || fmt.Sprint(recovered.Records) != fmt.Sprint(again.Records) {
			t.Fatalf("opens to %v, then to %v (%v)", recovered, again, err)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, err := OSDisk(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := Open(d, Options{})
			if err != nil {
				b.Fatal(err)
			}
			recs, next := make([]Record, n), uint64(1)
			for b.Loop() {
				for i := range recs {
					recs[i] = Record{Term: 1, Index: next, Data: make([]byte, 200)}
					next++
				}
				if err := s.Append(recs); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
