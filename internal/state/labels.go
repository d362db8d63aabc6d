package state

// Labels maps label names to values: those that a worker has, or those that a step or placement policy requires.
type Labels map[string]string

// hasAll reports whether l has every label of want, with its value.
func (l Labels) hasAll(want Labels) bool {
	for label, value := range want {
		if l[label] != value {
			return false
		}
	}
	return true
}
