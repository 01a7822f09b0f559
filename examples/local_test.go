package examples

import (
	"fmt"
	"testing"

	"github.com/damaskcove/damaskcove/internal/settings"
)

func TestLocalFleetSettingsAreValid(t *testing.T) {
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("local/entry-%d.toml", i)
		s, err := settings.Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Instance.Fleet != string(BunyaRidge) || string(s.Instance.Zone) != BunyaRidgeZones[i-1] {
			t.Errorf("%s: %+v", name, s.Instance)
		}
	}
}
