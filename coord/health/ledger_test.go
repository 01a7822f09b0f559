package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// The endpoints that unexpired decisions remove must fit the allowance of one of these decisions, also
// when the allowance shrinks between two decisions.
func TestLedgerKeepsUnexpiredDecisionsWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const validity = time.Second
		type issued struct {
			at        time.Time
			allowance int
			named     []EndpointKey
		}
		slots := map[EndpointKey]int{}
		for key := range EndpointKey(3) {
			slots[key] = rapid.IntRange(1, 2).Draw(t, "slots")
		}
		zones := []fleet.Zone{"a"}
		l := newLedger()
		now := time.Unix(0, 0)
		var history []issued
		for range rapid.IntRange(1, 80).Draw(t, "issues") {
			now = now.Add(time.Duration(rapid.IntRange(50, 600).Draw(t, "ms")) * time.Millisecond)
			l.expire(now)
			next := issued{at: now, allowance: rapid.IntRange(0, 4).Draw(t, "allowance")}
			r := l.begin(next.allowance)
			for _, key := range rapid.SliceOfDistinct(rapid.Map(rapid.IntRange(0, 2), func(k int) EndpointKey { return EndpointKey(k) }), rapid.ID).Draw(t, "wanted") {
				if r.add(key, slots[key], zones) {
					next.named = append(next.named, key)
				}
			}
			r.commit(now, validity)
			history = append(history, next)
			total, largest := 0, 0
			counted := map[EndpointKey]bool{}
			for _, h := range history {
				if now.Sub(h.at) >= validity {
					continue
				}
				largest = max(largest, h.allowance)
				for _, key := range h.named {
					if !counted[key] {
						counted[key] = true
						total += slots[key]
					}
				}
			}
			if total > largest {
				t.Fatalf("unexpired decisions remove %d slots, the largest allowance is %d", total, largest)
			}
		}
	})
}
