package settings

import (
	"log/slog"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Settings are everything that one instance learns from its settings file.
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

// Instance says who the instance is and where it runs.
type Instance struct {
	ID     fleet.InstanceID `toml:"id"`     // Unique in the fleet for as long as the address is in use.
	Fleet  string           `toml:"fleet"`  // Same on all instances; peers and tickets of another fleet are refused.
	Zone   fleet.Zone       `toml:"zone"`   // Availability zone.
	Region fleet.Region     `toml:"region"` // Region of the zone.
}

// Listen holds the addresses of the instance, each an IP number and port. An empty
// advertised address is the listening one; it stays empty when the port is 0, for any free one.
type Listen struct {
	Entry              string `toml:"entry"` // For callers.
	EntryAdvertised    string `toml:"entry_advertised"`
	Peer               string `toml:"peer"` // For other instances.
	PeerAdvertised     string `toml:"peer_advertised"`
	Operator           string `toml:"operator"` // For operators.
	OperatorAdvertised string `toml:"operator_advertised"`
	Outgoing           string `toml:"outgoing"` // IP number that connections to upstreams come from; empty for the system's choice.
}

// Platform says how to reach the platform.
type Platform struct {
	Address string `toml:"address"` // IP number and port of the store and the list.
}

// Peer says how instances prove themselves to each other.
type Peer struct {
	CertFile  string `toml:"cert_file"` // PEM; read again when it changes.
	KeyFile   string `toml:"key_file"`  // PEM.
	CAFile    string `toml:"ca_file"`   // PEM; signs the certificates of every instance.
	Plaintext bool   `toml:"plaintext"` // No TLS; taken on loopback addresses only.
}

// Operator guards the operator endpoints.
type Operator struct {
	Token     string `toml:"token"`      // Bearer token.
	TokenFile string `toml:"token_file"` // File that holds it, in place of Token.
}

// Tickets holds the keys that sign tickets.
type Tickets struct {
	Lifetime time.Duration `toml:"lifetime"` // From being handed out until keys made from a ticket are refused.
	Keys     []TicketKey   `toml:"keys"`     // The first signs; every one verifies.
}

// TicketKey is one signing key.
type TicketKey struct {
	ID         string `toml:"id"`
	Secret     string `toml:"secret"`      // Base64 or hex.
	SecretFile string `toml:"secret_file"` // File that holds it, in place of Secret.

	Bytes []byte `toml:"-"` // The decoded secret.
}

// Fleet holds what all instances of a fleet must have alike.
type Fleet struct {
	CarriersPerService int           `toml:"carriers_per_service"` // Instances that route to a service's endpoints.
	WatchersPerZone    int           `toml:"watchers_per_zone"`    // Instances that watch the store and the list.
	EntriesPerAnswer   int           `toml:"entries_per_answer"`   // Instances in one discovery answer.
	DiscoveryMaxAge    time.Duration `toml:"discovery_max_age"`    // Time for which callers keep an answer.
}

// Limits bound what the instance takes on.
type Limits struct {
	MaxBodyBytes   tomlfile.Size `toml:"max_body"`         // Of a request, over any service's own bound.
	MaxAnswerBytes tomlfile.Size `toml:"max_answer"`       // Of an upstream's answer.
	MaxHeaderBytes tomlfile.Size `toml:"max_header"`       // Of a request's head.
	MaxConnections int           `toml:"max_connections"`  // Of callers.
	MaxInFlight    int           `toml:"max_in_flight"`    // Requests not answered yet.
	ClaimTableKeys int           `toml:"claim_table_keys"` // Idempotency keys held at once.
	MemoryLimit    tomlfile.Size `toml:"memory_limit"`     // Soft limit of the runtime; 0 for none.
	IdleTimeout    time.Duration `toml:"idle_timeout"`     // Of callers' connections.
	ReadTimeout    time.Duration `toml:"read_timeout"`     // Of one request from its first byte.
	UpstreamIdle   time.Duration `toml:"upstream_idle"`    // Of connections to upstreams.
	UpstreamDial   time.Duration `toml:"upstream_dial"`    // Of connecting to an upstream.
}

// Stop bounds a planned stop.
type Stop struct {
	Timeout time.Duration `toml:"timeout"` // After which what is still in flight is cut off.
}

// Trace chooses where spans go.
type Trace struct {
	Exporter    string  `toml:"exporter"`     // "none", "stdout" or "otlp".
	URL         string  `toml:"url"`          // Of an OTLP collector over HTTP.
	SampleShare float64 `toml:"sample_share"` // Of requests that came without a trace context.
}

// Exporters of Trace.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Log says what is logged.
type Log struct {
	Level slog.Level `toml:"level"` // "debug", "info", "warn" or "error".
}

// Default returns the settings that hold where a file sets nothing.
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
