package soak

import (
	"fmt"
	"slices"
	"strings"
)

// Shrink returns the fewest of a run's faults that still break a promise: it leaves out one fault after the
// other, for good if the run still breaks one without it. breaks plays the run with some faults only. A run
// that breaks a promise only sometimes may keep faults that it doesn't need.
func Shrink(played []int, breaks func(only []int) (bool, error)) ([]int, error) {
	kept := slices.Clone(played)
	for _, k := range played {
		without := slices.DeleteFunc(slices.Clone(kept), func(x int) bool { return x == k })
		if len(without) == 0 {
			break
		}
		broken, err := breaks(without)
		if err != nil {
			return kept, err
		}
		if broken {
			kept = without
		}
	}
	return kept, nil
}

// JoinNumbers returns numbers as the value of a flag.
func JoinNumbers(list []int) string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(list)), ","), "[]")
}
