package examples

import (
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/template"
)

func TestExamplesAreValidAndHaveExpectedSizes(t *testing.T) {
	for firm, sizes := range map[Firm]map[fleet.Service]template.Size{
		BunyaRidge: {"stock": {Endpoints: 10, SlotsPerEndpoint: 4}, "drums": {Endpoints: 20, SlotsPerEndpoint: 4}, "pickups": {Endpoints: 6, SlotsPerEndpoint: 4}},
		Qalqan:     {"fabrics": {Endpoints: 7, SlotsPerEndpoint: 3}, "cuts": {Endpoints: 15, SlotsPerEndpoint: 3}, "fittings": {Endpoints: 6, SlotsPerEndpoint: 3}},
	} {
		set, err := Templates(firm)
		if err != nil {
			t.Fatal(err)
		}
		if set.Fleet != string(firm) || len(set.Services) != len(sizes) || len(set.Accounts) == 0 {
			t.Errorf("%s: fleet %q, %d services, %d accounts", firm, set.Fleet, len(set.Services), len(set.Accounts))
		}
		for service, size := range sizes {
			if set.Sizes[service] != size {
				t.Errorf("%s: service %s: size %+v, want %+v", firm, service, set.Sizes[service], size)
			}
		}
		if invalid := set.Config().Validate(); len(invalid) > 0 {
			t.Errorf("%s: %v", firm, invalid)
		}
	}
}
