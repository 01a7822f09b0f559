package settings

import (
	"net/netip"

	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// validateListenAddress checks for an IP address and port. Port 0 picks a free one.
func validateListenAddress(c *tomlfile.Collector, key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.Add(key, tomlfile.FormatValue(text), `must be an IP address and port, such as "192.0.2.7:8080"; host names are not accepted`)
	}
}

// validateRemoteAddress checks for an IP address and port that can be connected to.
func validateRemoteAddress(c *tomlfile.Collector, key, text string) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		c.Add(key, tomlfile.FormatValue(text), `must be an IP address and port, such as "192.0.2.7:8080"; host names are not accepted`)
		return
	}
	if addr.Port() == 0 || addr.Addr().IsUnspecified() {
		c.Add(key, tomlfile.FormatValue(text), "must be a specific address, and its port must not be 0")
	}
}

// validateAdvertised checks for an address that others can connect to. It may be empty when
// listening has port 0, in which case listening must have a specific IP address.
func validateAdvertised(c *tomlfile.Collector, key, text, listening string) {
	if text == listening || text == "" {
		if addr, err := netip.ParseAddrPort(listening); err == nil && addr.Addr().IsUnspecified() {
			c.Add(key, tomlfile.FormatValue(text), "must be set to an address that others can connect to, since %s listens on all addresses", listening)
		}
		return
	}
	validateRemoteAddress(c, key, text)
}

func validateDistinct(c *tomlfile.Collector, key, text, otherKey, other string) {
	addr, err := netip.ParseAddrPort(text)
	if err == nil && addr.Port() != 0 && text == other {
		c.Add(key, tomlfile.FormatValue(text), "is also the value of %s", otherKey)
	}
}
