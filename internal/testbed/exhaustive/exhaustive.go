// Package exhaustive enumerates all cases of a test: every order of events, every sequence of choices. The enumeration
// is deterministic, in the stated order, so a failing test fails in the same case each time.
package exhaustive

import "slices"

// Permutations calls do with every permutation of the numbers 0 to n-1, in lexicographic order. do may retain the
// slice.
func Permutations(n int, do func(order []int)) {
	Arrangements(n, func(chosen []int) {
		if len(chosen) == n {
			do(chosen)
		}
	})
}

// Arrangements calls do with every permutation of every subset of the numbers 0 to n-1, in lexicographic order, and
// returns their number. do may retain the slice.
func Arrangements(n int, do func(chosen []int)) (count int) {
	var extend func(chosen []int)
	extend = func(chosen []int) {
		do(chosen)
		count++
		for number := range n {
			if !slices.Contains(chosen, number) {
				extend(append(slices.Clone(chosen), number))
			}
		}
	}
	extend(nil)
	return count
}

// Choices calls run once for every sequence of choices, in lexicographic order, and returns the number of runs. run
// calls choose(n) to obtain a number from 0 to n-1. The number of its calls and their n may depend on earlier choices.
// Example:
//
//	count := exhaustive.Choices(func(choose func(n int) int) {
//		isLost := choose(2) == 1
//		...
//	})
func Choices(run func(choose func(n int) int)) (count int) {
	var picks, sizes []int
	for {
		next := 0
		run(func(n int) int {
			if next == len(picks) {
				picks, sizes = append(picks, 0), append(sizes, n)
			}
			next++
			return picks[next-1]
		})
		count++
		for len(picks) > 0 && picks[len(picks)-1] == sizes[len(sizes)-1]-1 {
			picks, sizes = picks[:len(picks)-1], sizes[:len(sizes)-1]
		}
		if len(picks) == 0 {
			return count
		}
		picks[len(picks)-1]++
	}
}
