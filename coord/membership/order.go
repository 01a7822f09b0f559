package membership

import (
	"cmp"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func compareRefs(a, b fleet.Ref) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

func sortFacts(list []Fact) {
	slices.SortFunc(list, func(a, b Fact) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind),
			compareRefs(a.Subject, b.Subject),
			compareRefs(a.Voter, b.Voter))
	})
}
