package standin

import (
	"maps"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// rateWindow is the time over which Counts averages the call rates.
const rateWindow = 10 * time.Second

// Counts are the calls that the platform has received. A waiting watch counts as one call.
type Counts struct {
	Total     uint64            `json:"total"`
	Reads     uint64            `json:"reads"`  // Get, watch and list.
	Writes    uint64            `json:"writes"` // Compare-and-swap, grant and keep alive.
	ByOp      map[string]uint64 `json:"by_op"`
	ByClient  map[string]uint64 `json:"by_client"`
	ReadRate  float64           `json:"read_rate"`  // Per second over the last ten seconds.
	WriteRate float64           `json:"write_rate"` // Per second over the last ten seconds.
}

// counter counts the platform's calls. The caller must serialise access.
type counter struct {
	counts Counts
	recent []call // Of the last rateWindow, oldest first.
}

type call struct {
	at    time.Time
	write bool
}

func newCounter() *counter {
	return &counter{counts: Counts{ByOp: make(map[string]uint64), ByClient: make(map[string]uint64)}}
}

func (c *counter) add(now time.Time, op, client string) {
	write := isWrite(op)
	c.counts.Total++
	if write {
		c.counts.Writes++
	} else {
		c.counts.Reads++
	}
	c.counts.ByOp[op]++
	c.counts.ByClient[client]++
	c.trim(now)
	c.recent = append(c.recent, call{at: now, write: write})
}

func (c *counter) trim(now time.Time) {
	n := 0
	for n < len(c.recent) && now.Sub(c.recent[n].at) >= rateWindow {
		n++
	}
	c.recent = c.recent[n:]
}

func (c *counter) snapshot(now time.Time) Counts {
	c.trim(now)
	out := c.counts
	out.ByOp = maps.Clone(c.counts.ByOp)
	out.ByClient = maps.Clone(c.counts.ByClient)
	writes := 0
	for _, recent := range c.recent {
		if recent.write {
			writes++
		}
	}
	out.WriteRate = float64(writes) / rateWindow.Seconds()
	out.ReadRate = float64(len(c.recent)-writes) / rateWindow.Seconds()
	return out
}

func isWrite(op string) bool {
	return op == metastore.OpCompareAndSwap || op == metastore.OpGrantLease || op == metastore.OpKeepAlive
}
