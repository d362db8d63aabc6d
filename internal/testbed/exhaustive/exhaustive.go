// Package exhaustive enumerates the cases of tests that try all of them: every order of events, every sequence of
// choices. It decides nothing by chance and in no other order than the one stated, so a test that fails does so in the
// same case each time.
package exhaustive

import "slices"

// Permutations calls do with every order of the numbers 0 to n-1, in lexicographic order. do may keep its slice.
func Permutations(n int, do func(order []int)) {
	Arrangements(n, func(chosen []int) {
		if len(chosen) == n {
			do(chosen)
		}
	})
}

// Arrangements calls do with every order of every subset of the numbers 0 to n-1, in lexicographic order, and returns
// how many there are. do may keep its slice.
func Arrangements(n int, do func(chosen []int)) (count int) {
	var extend func(chosen []int)
	extend = func(chosen []int) {
		do(chosen)
		count++
		for next := range n {
			if !slices.Contains(chosen, next) {
				extend(append(slices.Clone(chosen), next))
			}
		}
	}
	extend(nil)
	return count
}

// Choices calls play with every sequence of choices, in lexicographic order, and returns how many there are. play calls
// choose(n) for a number below n; how often it does, and with which n, may depend on the choices before. Example:
//
//	runs := exhaustive.Choices(func(choose func(n int) int) {
//		isLost := choose(2) == 1
//		...
//	})
func Choices(play func(choose func(n int) int)) (runs int) {
	var picks, sizes []int
	for {
		at := 0
		play(func(n int) int {
			if at == len(picks) {
				picks, sizes = append(picks, 0), append(sizes, n)
			}
			at++
			return picks[at-1]
		})
		runs++
		for len(picks) > 0 && picks[len(picks)-1] == sizes[len(sizes)-1]-1 {
			picks, sizes = picks[:len(picks)-1], sizes[:len(sizes)-1]
		}
		if len(picks) == 0 {
			return runs
		}
		picks[len(picks)-1]++
	}
}
