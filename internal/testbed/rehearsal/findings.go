package rehearsal

import (
	"context"
	"fmt"
	"sync"

	"crosstide/internal/testbed/audit"
)

// findings collects the notes and violations that a rehearsal reports. It is safe for concurrent use: faults that run
// concurrently add to it.
type findings struct {
	mu         sync.Mutex
	notes      []string
	violations []string
}

func (f *findings) notef(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

func (f *findings) violatef(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// maxReported limits the violations of one invariant that a case reports.
const maxReported = 3

// addNewViolations audits the fleet in dir and adds the violations that are not in seen to the findings and to seen.
func (f *findings) addNewViolations(ctx context.Context, dir string, seen map[string]bool) {
	audited, err := audit.CheckFleet(ctx, dir)
	if err != nil {
		f.violatef("audit: %v", err)
		return
	}
	for _, finding := range audited {
		added := 0
		for _, line := range finding.Lines {
			key := finding.Invariant + line
			if seen[key] {
				continue
			}
			seen[key] = true
			added++
			if added <= maxReported {
				f.violatef("%s: %s", finding.Invariant, line)
			}
		}
		if added > maxReported {
			f.violatef("%s: %d more violations", finding.Invariant, added-maxReported)
		}
	}
}
