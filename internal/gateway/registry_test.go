package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform"
)

// Guards against the use of an upstream that drains: a registration that was written before, and takes its
// effect late, must not make it ready again.
func TestLateRegistrationDoesNotEndADrain(t *testing.T) {
	const born = 1_700_000_000_000
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		state          string
		sequence, born int64
		draining       bool
	}{
		"from before":            {"ready", 8, born, true},
		"newer":                  {"ready", 10, born, false},
		"of another start":       {"ready", 1, born + 1, false},
		"draining, from before":  {"draining", 8, born, true},
		"draining, of one start": {"draining", 1, born + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(slog.New(slog.DiscardHandler))
			put := func(state string, sequence, born int64) {
				r.put(now, registration{key: "servers/i-1", value: fmt.Appendf(nil, `{"service":"s","address":"192.0.2.1:80","zone":"a","version":"v","capacity":4,"state":%q,"warmup_left":"0ms","sequence":%d,"born":%d}`, state, sequence, born)})
			}
			put("ready", 7, born)
			put("draining", 9, born)
			put(tc.state, tc.sequence, tc.born)
			list := r.endpoints(&platform.Config{Services: map[string]platform.Service{"s": {}}})
			if len(list) != 1 || list[0].Draining != tc.draining {
				t.Errorf("got %+v", list)
			}
		})
	}
}
