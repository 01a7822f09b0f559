package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/quota"
)

// quotaLevels is a part of the levels of accounts' limits that an instance hands over. In a single part, Complete is
// set: the limits of other accounts are unused.
type quotaLevels struct {
	_        struct{} `cbor:",toarray"`
	Levels   []quota.Level
	Complete bool
}

const (
	// maxLevels keeps a quotaLevels within maxDatagramBytes: a level takes at most 15 bytes.
	maxLevels = 80
	// maxLevelParts bounds the datagrams of a handover. Limits whose levels are not handed over count as used up.
	maxLevelParts = 40
)

// setAccountLimits applies the limits of the configuration in force.
func (c *control) setAccountLimits(now time.Time) {
	if c.quota == nil {
		if !c.config.HasAccounts {
			return
		}
		q := c.settings.Quota
		cfg := quota.Config{Window: q.Window, Excess: q.Excess, Tolerance: q.Tolerance}
		c.quota = quota.New(cfg, now, c.settings.Instance.FirstStart, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	limits := make(map[accounts.ID]quota.Limit)
	for _, a := range c.config.Accounts {
		if a.Rate > 0 {
			limits[accounts.IDOf(a.Name)] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	c.quota.SetLimits(now, limits)
}

// updateQuotaPeers sets the number of instances among which the limits of accounts are shared: also of those that are
// silent, as they may be serving requests on the other side of a partition.
func (c *control) updateQuotaPeers(now time.Time) {
	if c.quota == nil || !c.replica.Read() {
		return
	}
	peers := 0
	for _, e := range c.members.byKey {
		if !e.leaving {
			peers++
		}
	}
	c.quota.SetPeers(now, peers)
	c.quota.SetSeparate(now, c.brokered()) // The instances of a brokered fleet report no uses.
}

// takeQuota takes a request from its account's limit.
func (c *control) takeQuota(now time.Time, r dispatch.Request) (ok bool, retryAfter time.Duration) {
	if c.quota == nil || r.Account == 0 {
		return true, 0
	}
	return c.quota.Take(now, r.Account, r.Priority)
}

// ReturnQuota implements forward.Dispatcher.
func (c *control) ReturnQuota(a accounts.ID) {
	c.post(func() {
		if c.quota != nil {
			c.quota.Return(time.Now(), a)
		}
	})
}

// hasReports reports whether there is anything to report to the other instances.
func (c *control) hasReports() bool {
	return len(c.reports) > 0 || c.quota != nil && c.quota.HasChanges()
}

// quotaReport returns the uses for one message.
func (c *control) quotaReport(now time.Time) []quota.Use {
	if c.quota == nil {
		return nil
	}
	return c.quota.Report(now, maxUses)
}

// handleUses deducts what another instance has used.
func (c *control) handleUses(now time.Time, m *message) {
	if c.quota == nil || c.members.byPeer[m.From] == nil {
		return
	}
	c.quota.Heard(now, uint64(m.From))
	c.quota.HandleReport(now, uint64(m.From), m.Uses)
}

// sendQuotaLevels hands over the levels of the limits of accounts.
func (c *control) sendQuotaLevels(now time.Time, to netip.AddrPort) {
	if c.quota == nil {
		return
	}
	levels := c.quota.Handover(now)
	complete := len(levels) <= maxLevels
	for part := 0; part == 0 || part < maxLevelParts && len(levels) > 0; part++ {
		n := min(len(levels), maxLevels)
		data, err := encodeKind(datagramQuotaLevels, quotaLevels{Levels: levels[:n], Complete: complete})
		if err != nil {
			c.log.Error("cannot encode the levels of the limits of accounts; they are not handed over", "error", err.Error())
			return
		}
		c.socket.send(data, []netip.AddrPort{to})
		levels = levels[n:]
	}
}

// handleQuotaLevels takes over the levels that another instance knows.
func (c *control) handleQuotaLevels(now time.Time, m quotaLevels) {
	if c.quota != nil {
		c.quota.Adopt(now, m.Levels, m.Complete)
	}
}
