package jobs

import (
	"fmt"
	"testing"
)

// BenchmarkProgress applies changes of 50 starts and of 50 ends to a table of 20,000 jobs and 200 workers. An operation
// is one start and one end.
func BenchmarkProgress(b *testing.B) {
	const jobs, workers, batch = 20_000, 200, 50
	table := testTable()
	for i := range workers {
		table.Register(Register{Workers: []Worker{testWorker(fmt.Sprintf("w%d", i), "open")}})
	}
	for i := range jobs {
		table.mustSubmit(testJob(fmt.Sprint(i), Step{Count: 4, Needs: Resources{MilliCPU: 100}}))
	}
	number := 0
	b.ResetTimer()
	for done := 0; done < b.N; done += batch {
		number++
		p := Progress{Term: testTerm, At: noon}
		for i := range batch {
			start := startOf(taskOf(fmt.Sprint((done+i)%jobs), 0, 0), number, fmt.Sprintf("w%d", i%workers))
			p.Starts = append(p.Starts, start)
		}
		started, err := table.Progress(testTerm, p)
		must(err)
		for i, start := range p.Starts {
			if !started.Recorded[i] {
				b.Fatal(start)
			}
			p.Ends = append(p.Ends, endOf(start, EndLost))
		}
		p.Starts = nil
		_, err = table.Progress(testTerm, p)
		must(err)
	}
}
