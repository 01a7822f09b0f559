package settings

import (
	"log/slog"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Settings is the content of one instance's settings file.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peer     Peer     `toml:"peer"`
	Operator Operator `toml:"operator"`
	Tickets  Tickets  `toml:"tickets"`
	Fleet    Fleet    `toml:"fleet"`
	Limits   Limits   `toml:"limits"`
	Stop     Stop     `toml:"stop"`
	Trace    Trace    `toml:"trace"`
	Log      Log      `toml:"log"`
}

// Instance identifies the instance and its location.
type Instance struct {
	ID     fleet.InstanceID `toml:"id"`     // Unique in the fleet for as long as the address is in use.
	Fleet  string           `toml:"fleet"`  // Same on all instances; peers and tickets of another fleet are rejected.
	Zone   fleet.Zone       `toml:"zone"`   // Availability zone.
	Region fleet.Region     `toml:"region"` // Region of the zone.
}

// Listen holds the addresses of the instance, each an IP address and port. An empty
// advertised address defaults to the listening one, but stays empty when the listening
// port is 0, which picks a free port.
type Listen struct {
	Entry              string `toml:"entry"` // For callers.
	EntryAdvertised    string `toml:"entry_advertised"`
	Peer               string `toml:"peer"` // For other instances.
	PeerAdvertised     string `toml:"peer_advertised"`
	Operator           string `toml:"operator"` // For operators.
	OperatorAdvertised string `toml:"operator_advertised"`
	Outgoing           string `toml:"outgoing"` // Local IP address of connections to upstreams; empty lets the system choose.
}

// Platform is the address of the platform.
type Platform struct {
	Address string `toml:"address"` // IP address and port of the store and the list.
}

// Peer configures authentication between instances.
type Peer struct {
	CertFile  string `toml:"cert_file"` // PEM; reloaded when it changes.
	KeyFile   string `toml:"key_file"`  // PEM.
	CAFile    string `toml:"ca_file"`   // PEM; the CA that signs every instance's certificate.
	Plaintext bool   `toml:"plaintext"` // Disables TLS; accepted on loopback addresses only.
}

// Operator configures authentication of the operator endpoints.
type Operator struct {
	Token     string `toml:"token"`      // Bearer token.
	TokenFile string `toml:"token_file"` // File that contains the token, instead of Token.
}

// Tickets configures the signing of tickets.
type Tickets struct {
	Lifetime time.Duration `toml:"lifetime"` // From issue until keys made from a ticket are rejected.
	Keys     []TicketKey   `toml:"keys"`     // The first key signs; all keys verify.
}

// TicketKey is one signing key.
type TicketKey struct {
	ID         string `toml:"id"`
	Secret     string `toml:"secret"`      // Base64 or hex.
	SecretFile string `toml:"secret_file"` // File that contains the secret, instead of Secret.

	Bytes []byte `toml:"-"` // Decoded secret.
}

// Fleet holds the settings that must be the same on all instances of a fleet.
type Fleet struct {
	CarriersPerService int           `toml:"carriers_per_service"` // Instances that route to a service's endpoints.
	WatchersPerZone    int           `toml:"watchers_per_zone"`    // Instances that watch the store and the list.
	EntriesPerAnswer   int           `toml:"entries_per_answer"`   // Instances in one discovery answer.
	DiscoveryMaxAge    time.Duration `toml:"discovery_max_age"`    // Time for which callers may cache a discovery answer.
}

// Limits bounds the resources that the instance uses.
type Limits struct {
	MaxBodyBytes   tomlfile.Size `toml:"max_body"`         // Of a request body; a template may set a lower limit.
	MaxAnswerBytes tomlfile.Size `toml:"max_answer"`       // Of an upstream's response.
	MaxHeaderBytes tomlfile.Size `toml:"max_header"`       // Of a request's head.
	MaxConnections int           `toml:"max_connections"`  // Of callers.
	MaxInFlight    int           `toml:"max_in_flight"`    // Concurrent requests.
	ClaimTableKeys int           `toml:"claim_table_keys"` // Maximum number of idempotency keys in the claim table.
	MemoryLimit    tomlfile.Size `toml:"memory_limit"`     // Soft memory limit of the Go runtime; 0 for none.
	IdleTimeout    time.Duration `toml:"idle_timeout"`     // Of callers' connections.
	ReadTimeout    time.Duration `toml:"read_timeout"`     // Of reading one request, from its first byte.
	UpstreamIdle   time.Duration `toml:"upstream_idle"`    // Of idle connections to upstreams.
	UpstreamDial   time.Duration `toml:"upstream_dial"`    // Of connecting to an upstream.
}

// Stop configures a planned stop.
type Stop struct {
	Timeout time.Duration `toml:"timeout"` // After which requests still in flight are aborted.
}

// Trace configures the export of spans.
type Trace struct {
	Exporter    string  `toml:"exporter"`     // "none", "stdout" or "otlp".
	URL         string  `toml:"url"`          // URL of an OTLP/HTTP collector.
	SampleShare float64 `toml:"sample_share"` // Share of the requests without a trace context that are sampled.
}

// Values of Trace.Exporter.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Log configures logging.
type Log struct {
	Level slog.Level `toml:"level"` // "debug", "info", "warn" or "error".
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		Tickets: Tickets{Lifetime: 10 * time.Minute},
		Fleet: Fleet{
			CarriersPerService: 12,
			WatchersPerZone:    2,
			EntriesPerAnswer:   3,
			DiscoveryMaxAge:    30 * time.Second,
		},
		Limits: Limits{
			MaxBodyBytes:   1 * tomlfile.MiB,
			MaxAnswerBytes: 8 * tomlfile.MiB,
			MaxHeaderBytes: 16 * tomlfile.KiB,
			MaxConnections: 20_000,
			MaxInFlight:    5_000,
			ClaimTableKeys: 100_000,
			IdleTimeout:    2 * time.Minute,
			ReadTimeout:    30 * time.Second,
			UpstreamIdle:   30 * time.Second,
			UpstreamDial:   500 * time.Millisecond,
		},
		Stop:  Stop{Timeout: 60 * time.Second},
		Trace: Trace{Exporter: ExporterNone, SampleShare: 0.01},
		Log:   Log{Level: slog.LevelInfo},
	}
}
