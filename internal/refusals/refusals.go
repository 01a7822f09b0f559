// Package refusals counts the requests and messages that the control components reject, by
// numbered result code.
package refusals

import (
	"expvar"
	"strconv"

	"github.com/damaskcove/damaskcove/coord/result"
)

// counts is the metric "refused": the number of rejections by result code.
var counts = expvar.NewMap("refused")

// Publisher adds the running totals of one component to the metric. It is not safe for
// concurrent use.
type Publisher struct {
	last map[result.Code]uint64
}

// Publish adds the growth of the totals since the last call, and reports whether any total
// has grown.
func (t *Publisher) Publish(totals map[result.Code]uint64) bool {
	anyGrowth := false
	for code, total := range totals {
		if growth := total - t.last[code]; growth > 0 {
			counts.Add(strconv.Itoa(int(code)), int64(growth))
			anyGrowth = true
		}
	}
	t.last = totals
	return anyGrowth
}
