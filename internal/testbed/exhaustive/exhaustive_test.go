package exhaustive

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPermutations_everyOrder(t *testing.T) {
	Convey("Every permutation occurs once, in lexicographic order", t, func() {
		var orders [][]int
		Permutations(3, func(order []int) { orders = append(orders, order) })
		So(orders, ShouldResemble, [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}})
		count := 0
		Permutations(6, func([]int) { count++ })
		So(count, ShouldEqual, 720)
	})
}

func TestArrangements_everySubset(t *testing.T) {
	Convey("Every permutation of every subset occurs once, in lexicographic order", t, func() {
		var arrangements [][]int
		So(Arrangements(2, func(chosen []int) { arrangements = append(arrangements, chosen) }), ShouldEqual, 5)
		So(arrangements, ShouldResemble, [][]int{nil, {0}, {0, 1}, {1}, {1, 0}})
		So(Arrangements(6, func([]int) {}), ShouldEqual, 1957)
	})
}

func TestChoices_dependOnEarlierOnes(t *testing.T) {
	Convey("Every sequence of choices occurs once, also if later choices depend on earlier ones", t, func() {
		var sequences [][]int
		runs := Choices(func(choose func(n int) int) {
			sequence := []int{choose(2)}
			if sequence[0] == 1 {
				sequence = append(sequence, choose(3))
			}
			sequences = append(sequences, sequence)
		})
		So(runs, ShouldEqual, 4)
		So(sequences, ShouldResemble, [][]int{{0}, {1, 0}, {1, 1}, {1, 2}})
	})
	Convey("There is one run if it makes no choice", t, func() {
		So(Choices(func(func(n int) int) {}), ShouldEqual, 1)
	})
}
