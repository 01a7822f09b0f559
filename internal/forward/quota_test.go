package forward

import (
	"slices"
	"strings"
	"testing"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/result"
)

func TestAccountLimits(t *testing.T) {
	const account = "bakery"
	id := accounts.IDOf(account)
	ok := startUpstream(t, serveOK).listener.Addr().String()
	notExecuted := startUpstream(t, rejectNotExecuted).listener.Addr().String()
	broken := startUpstream(t, reset).listener.Addr().String()
	for name, tc := range map[string]struct {
		upstreams    []string
		atLimit      bool
		wantStatus   int
		wantReturned bool
	}{
		"served":                          {[]string{ok}, false, 200, false},
		"not sent":                        {[]string{unusedAddress(t)}, false, 503, true},
		"not executed":                    {[]string{notExecuted}, false, 503, true},
		"not executed, then served":       {[]string{notExecuted, ok}, false, 200, false},
		"may have run":                    {[]string{broken}, false, 502, false},
		"not executed, then may have run": {[]string{notExecuted, broken}, false, 502, false},
		"no endpoint":                     {nil, false, 503, false},
		"at the limit":                    {[]string{ok}, true, 429, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newSequentialDispatcher(tc.upstreams...)
			d.atLimit = tc.atLimit
			c := nonIdempotentCall
			c.account = account
			resp, report := c.serve(t, New(d), "a")
			if resp.StatusCode() != tc.wantStatus {
				t.Errorf("status %d, %+v", resp.StatusCode(), report)
			}
			if returned := slices.Equal(d.returned, []accounts.ID{id}); returned != tc.wantReturned || len(d.returned) > 1 {
				t.Errorf("returned %v", d.returned)
			}
			for k, a := range d.accounts {
				if first := k == 0; (a == id) != first {
					t.Errorf("acquired for accounts %v, want the account in the first alone", d.accounts)
				}
			}
			if tc.atLimit && (report.Code != result.CodeAccountLimit || string(resp.Header.Peek("Retry-After")) == "" || !strings.Contains(report.Detail, "bakery") || !strings.Contains(report.Detail, "2.5")) {
				t.Errorf("%s, %+v", &resp.Header, report)
			}
		})
	}
}
