package health

import (
	"testing"

	"pgregory.net/rapid"
)

func TestFewerAcceptedFalseEjectionsTakeLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Parameters{
			FalseEjectionsPerEndpointMonth: rapid.Float64Range(1e-4, 10).Draw(t, "accepted"),
			ExpectedRequestsPerSecond:      rapid.Float64Range(0.1, 1e4).Draw(t, "rate"),
		}
		endpoints := rapid.IntRange(1, 50).Draw(t, "endpoints")
		loose := Threshold(p, endpoints)
		p.FalseEjectionsPerEndpointMonth /= 10
		strict := Threshold(p, endpoints)
		if strict.Limit <= loose.Limit || strict.FailingDetectionTime < loose.FailingDetectionTime || strict.SlowDetectionTime < loose.SlowDetectionTime {
			t.Fatalf("a tenth of the accepted false ejections changes %+v to %+v", loose, strict)
		}
	})
}

func TestThresholdOfEmptyTemplateIsDefined(t *testing.T) {
	o := Threshold(Parameters{}, 0)
	if o.Limit < minLimit || o.FailingDetectionTime <= 0 || o.SlowDetectionTime <= 0 {
		t.Fatalf("operating point %+v", o)
	}
}
