package gateway

import (
	"cmp"
	"math"
	"syscall"

	"github.com/damaskcove/damaskcove/coord/admission"
	"github.com/damaskcove/damaskcove/internal/httpconn"
)

// descriptorLimit returns the number of file descriptors that the process may have open: the smaller of
// the setting and the system's limit; 0 if neither is known.
func descriptorLimit(setting int) int {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil || system.Cur > math.MaxInt32 {
		return setting
	}
	if setting == 0 {
		return int(system.Cur)
	}
	return min(setting, int(system.Cur))
}

const (
	// bodyShareDivisor is the share of the memory for the bodies of requests in service. Bytes that were
	// released stay in memory until the next collection, so that bodies may take twice their share; the last
	// third is for all else.
	bodyShareDivisor = 3
	// defaultMemoryMB is assumed for a machine whose memory is not known.
	defaultMemoryMB = 256
)

// bodyBudget returns the bytes of the bodies of requests in service, for a machine's memory in MB; 0:
// unknown.
func bodyBudget(memoryMB int) int64 {
	return int64(cmp.Or(memoryMB, defaultMemoryMB)) << 20 / bodyShareDivisor
}

// otherConnections counts the connections other than those of callers.
func (g *Gateway) otherConnections() admission.Use {
	use := admission.Use{Upstreams: httpconn.Open()}
	for _, s := range g.auxServers {
		use.Others += s.connections()
	}
	return use
}

// logRoom logs the connections of callers that were closed to make room since the last call.
func (g *Gateway) logRoom(before int64) int64 {
	retired := g.server.Retired()
	if retired > before {
		counted, limit := g.server.Descriptors()
		g.log.Warn("closed idle connections of callers to make room for others", "closed", retired-before,
			"caller_connections", g.server.Connections(), "descriptors_counted", counted, "descriptors_limit", limit)
	}
	return retired
}
