package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Bounds that settings are validated against.
const (
	MinSecretBytes      = 32 // Of a ticket key.
	MinTokenBytes       = 16 // Of the operators' token.
	MaxTicketKeys       = 8
	MaxBodyBound        = 64 * tomlfile.MiB
	MinTicketLifetime   = time.Minute
	MaxTicketLifetime   = 24 * time.Hour
	MinDiscoveryMaxAge  = time.Second
	MaxDiscoveryMaxAge  = 10 * time.Minute
	MaxStopTimeout      = time.Hour
	MaxCarriers         = 1024
	MaxWatchers         = 16
	MaxEntriesPerAnswer = 16
	MaxConnectionsBound = 1_000_000
	MaxClaimKeysBound   = 10_000_000
	maxNameBytes        = 64
	minTimeout          = time.Millisecond
	maxTimeout          = 10 * time.Minute
	minHeaderBound      = 4 * tomlfile.KiB
	maxHeaderBound      = 1 * tomlfile.MiB
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// validate adds an error to c for each invalid setting.
func (s *Settings) validate(c *tomlfile.Collector) {
	s.Instance.validate(c)
	s.Listen.validate(c)
	s.Platform.validate(c)
	s.validatePeer(c)
	s.Operator.validate(c)
	s.Tickets.validate(c)
	s.Fleet.validate(c)
	s.Limits.validate(c)
	validateRange(c, "stop.timeout", s.Stop.Timeout, minTimeout, MaxStopTimeout)
	s.Trace.validate(c)
	if s.Tickets.Lifetime <= s.Fleet.DiscoveryMaxAge {
		c.Add("tickets.lifetime", s.Tickets.Lifetime.String(), "must be greater than fleet.discovery_max_age, which is %v", s.Fleet.DiscoveryMaxAge)
	}
}

func (i Instance) validate(c *tomlfile.Collector) {
	validateName(c, "instance.id", string(i.ID))
	validateName(c, "instance.fleet", i.Fleet)
	validateName(c, "instance.zone", string(i.Zone))
	validateName(c, "instance.region", string(i.Region))
}

func (l Listen) validate(c *tomlfile.Collector) {
	validateListenAddress(c, "listen.entry", l.Entry)
	validateListenAddress(c, "listen.peer", l.Peer)
	validateListenAddress(c, "listen.operator", l.Operator)
	validateAdvertised(c, "listen.entry_advertised", l.EntryAdvertised, l.Entry)
	validateAdvertised(c, "listen.peer_advertised", l.PeerAdvertised, l.Peer)
	validateAdvertised(c, "listen.operator_advertised", l.OperatorAdvertised, l.Operator)
	validateDistinct(c, "listen.peer", l.Peer, "listen.entry", l.Entry)
	validateDistinct(c, "listen.operator", l.Operator, "listen.entry", l.Entry)
	validateDistinct(c, "listen.operator", l.Operator, "listen.peer", l.Peer)
	if l.Outgoing != "" {
		if _, err := netip.ParseAddr(l.Outgoing); err != nil {
			c.Add("listen.outgoing", tomlfile.FormatValue(l.Outgoing), "must be an IP address")
		}
	}
}

func (p Platform) validate(c *tomlfile.Collector) {
	validateRemoteAddress(c, "platform.address", p.Address)
}

func (s *Settings) validatePeer(c *tomlfile.Collector) {
	p := s.Peer
	if p.Plaintext {
		if p.CertFile != "" || p.KeyFile != "" || p.CAFile != "" {
			c.Add("peer.plaintext", "true", "peer certificate files are also set; set only one of the two")
		}
		validateLoopback(c, "listen.peer", s.Listen.Peer)
		validateLoopback(c, "listen.peer_advertised", s.Listen.PeerAdvertised)
		return
	}
	requireFile(c, "peer.cert_file", p.CertFile)
	requireFile(c, "peer.key_file", p.KeyFile)
	requireFile(c, "peer.ca_file", p.CAFile)
}

func validateLoopback(c *tomlfile.Collector, key, address string) {
	if addr, err := netip.ParseAddrPort(address); err == nil && !addr.Addr().IsLoopback() {
		c.Add("peer.plaintext", "true", "is accepted on loopback addresses only, but %s is %s", key, address)
	}
}

func requireFile(c *tomlfile.Collector, key, file string) {
	if file == "" {
		c.Add(key, "", "must be set unless peer.plaintext is true")
	}
}

func (o Operator) validate(c *tomlfile.Collector) {
	if len(o.Token) < MinTokenBytes {
		c.Add("operator.token", "", "has %d bytes, the minimum is %d; set it or operator.token_file", len(o.Token), MinTokenBytes)
	}
}

func (t Tickets) validate(c *tomlfile.Collector) {
	validateRange(c, "tickets.lifetime", t.Lifetime, MinTicketLifetime, MaxTicketLifetime)
	if len(t.Keys) < 1 || len(t.Keys) > MaxTicketKeys {
		c.Add("tickets.keys", "", "has %d keys, must have 1 to %d", len(t.Keys), MaxTicketKeys)
	}
	seen := make(map[string]bool, len(t.Keys))
	for i, k := range t.Keys {
		key := fmt.Sprintf("tickets.keys[%d]", i)
		validateName(c, key+".id", k.ID)
		if seen[k.ID] {
			c.Add(key+".id", tomlfile.FormatValue(k.ID), "is a duplicate")
		}
		seen[k.ID] = true
		if k.Bytes != nil && len(k.Bytes) < MinSecretBytes {
			c.Add(key+".secret", "", "has %d bytes, the minimum is %d", len(k.Bytes), MinSecretBytes)
		}
	}
}

func (f Fleet) validate(c *tomlfile.Collector) {
	validateRange(c, "fleet.carriers_per_service", f.CarriersPerService, 1, MaxCarriers)
	validateRange(c, "fleet.watchers_per_zone", f.WatchersPerZone, 1, MaxWatchers)
	validateRange(c, "fleet.entries_per_answer", f.EntriesPerAnswer, 1, MaxEntriesPerAnswer)
	validateRange(c, "fleet.discovery_max_age", f.DiscoveryMaxAge, MinDiscoveryMaxAge, MaxDiscoveryMaxAge)
}

func (l Limits) validate(c *tomlfile.Collector) {
	validateRange(c, "limits.max_body", l.MaxBodyBytes, 1, MaxBodyBound)
	validateRange(c, "limits.max_answer", l.MaxAnswerBytes, 1, MaxBodyBound)
	validateRange(c, "limits.max_header", l.MaxHeaderBytes, minHeaderBound, maxHeaderBound)
	validateRange(c, "limits.max_connections", l.MaxConnections, 1, MaxConnectionsBound)
	validateRange(c, "limits.max_in_flight", l.MaxInFlight, 1, MaxConnectionsBound)
	validateRange(c, "limits.claim_table_keys", l.ClaimTableKeys, 1, MaxClaimKeysBound)
	validateRange(c, "limits.idle_timeout", l.IdleTimeout, minTimeout, maxTimeout)
	validateRange(c, "limits.read_timeout", l.ReadTimeout, minTimeout, maxTimeout)
	validateRange(c, "limits.upstream_idle", l.UpstreamIdle, minTimeout, maxTimeout)
	validateRange(c, "limits.upstream_dial", l.UpstreamDial, minTimeout, maxTimeout)
}

func (t Trace) validate(c *tomlfile.Collector) {
	switch t.Exporter {
	case ExporterNone, ExporterStdout:
	case ExporterOTLP:
		if u, err := url.Parse(t.URL); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			c.Add("trace.url", tomlfile.FormatValue(t.URL), `must be the URL of an OTLP collector, such as "http://192.0.2.1:4318"`)
		}
	default:
		c.Add("trace.exporter", tomlfile.FormatValue(t.Exporter), "must be %q, %q or %q", ExporterNone, ExporterStdout, ExporterOTLP)
	}
	validateRange(c, "trace.sample_share", t.SampleShare, 0, 1)
}

func validateName(c *tomlfile.Collector, key, text string) {
	if len(text) > maxNameBytes || !namePattern.MatchString(text) {
		c.Add(key, tomlfile.FormatValue(text), "must be 1 to %d letters, digits, dots, dashes and underscores, and start with a letter or digit", maxNameBytes)
	}
}

// validateRange adds an error unless low <= value <= high. NaN is out of range.
func validateRange[T cmp.Ordered](c *tomlfile.Collector, key string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	c.Add(key, fmt.Sprint(value), "must be from %v to %v", low, high)
}
