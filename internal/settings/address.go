package settings

import (
	"net/netip"

	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// listenAddress wants an IP number and a port, which may be 0 for a free one.
func listenAddress(c *tomlfile.Collector, key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.Add(key, tomlfile.FormatValue(text), `must be an IP number and port, as "192.0.2.7:8080"; names are not taken`)
	}
}

// remoteAddress wants an IP number and a port to connect to.
func remoteAddress(c *tomlfile.Collector, key, text string) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		c.Add(key, tomlfile.FormatValue(text), `must be an IP number and port, as "192.0.2.7:8080"; names are not taken`)
		return
	}
	if addr.Port() == 0 || addr.Addr().IsUnspecified() {
		c.Add(key, tomlfile.FormatValue(text), "must name one address and a port other than 0")
	}
}

// advertised wants an address that others can connect to. It may be empty when the listening
// address takes any free port, which must then be on one IP number.
func advertised(c *tomlfile.Collector, key, text, listening string) {
	if text == listening || text == "" {
		if addr, err := netip.ParseAddrPort(listening); err == nil && addr.Addr().IsUnspecified() {
			c.Add(key, tomlfile.FormatValue(text), "must be set to an address that others can connect to: %s is every address", listening)
		}
		return
	}
	remoteAddress(c, key, text)
}

func distinct(c *tomlfile.Collector, key, text, otherKey, other string) {
	addr, err := netip.ParseAddrPort(text)
	if err == nil && addr.Port() != 0 && text == other {
		c.Add(key, tomlfile.FormatValue(text), "is %s too", otherKey)
	}
}
