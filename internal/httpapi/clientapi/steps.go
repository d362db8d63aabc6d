package clientapi

import (
	"fmt"
	"slices"
	"strings"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// checkSteps checks that the names of the steps are unique, that After names existing steps and that there is no cycle.
func (r *reader) checkSteps(steps []state.StepSpec) {
	index := map[string]int{}
	for i, s := range steps {
		if s.Name == "" {
			continue
		}
		if first, twice := index[s.Name]; twice {
			r.reject(errs.Invalid, fmt.Sprintf("steps[%d].name", i),
				"%q is already the name of steps[%d]", s.Name, first)
			continue
		}
		index[s.Name] = i
	}
	for i, s := range steps {
		for k, name := range s.After {
			if _, ok := index[name]; !ok && name != "" {
				r.reject(errs.Invalid, fmt.Sprintf("steps[%d].after[%d]", i, k), "no step is named %q", name)
			}
		}
	}
	r.checkCycles(steps, index)
}

// checkCycles rejects dependency cycles, by a depth-first search that stops at the first cycle. index has the indexes
// of the steps by name.
func (r *reader) checkCycles(steps []state.StepSpec, index map[string]int) {
	const unvisited, onPath, done = 0, 1, 2
	mark := make([]int, len(steps))
	var path []string
	var visit func(i int) bool
	visit = func(i int) bool {
		mark[i] = onPath
		path = append(path, steps[i].Name)
		for k, name := range steps[i].After {
			next, ok := index[name]
			if !ok || mark[next] == done {
				continue
			}
			if mark[next] == onPath {
				cycle := strings.Join(append(path[slices.Index(path, name):], name), " after ")
				r.reject(errs.Invalid, fmt.Sprintf("steps[%d].after[%d]", i, k), "dependency cycle: %s", cycle)
				return false
			}
			if !visit(next) {
				return false
			}
		}
		mark[i] = done
		path = path[:len(path)-1]
		return true
	}
	for i := range steps {
		if mark[i] == unvisited && !visit(i) {
			return
		}
	}
}
