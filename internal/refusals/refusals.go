// Package refusals counts what the control duties refuse, by numbered result code.
package refusals

import (
	"expvar"
	"strconv"

	"github.com/damaskcove/damaskcove/coord/result"
)

// counts is published as "refused": the number of refusals by code.
var counts = expvar.NewMap("refused")

// Publisher turns a duty's running totals into counts. It is for one goroutine.
type Publisher struct {
	last map[result.Code]uint64
}

// Publish adds what the totals have grown by since the last call, and reports whether any did.
func (t *Publisher) Publish(totals map[result.Code]uint64) bool {
	grown := false
	for code, total := range totals {
		if growth := total - t.last[code]; growth > 0 {
			counts.Add(strconv.Itoa(int(code)), int64(growth))
			grown = true
		}
	}
	t.last = totals
	return grown
}
