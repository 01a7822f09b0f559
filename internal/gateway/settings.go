package gateway

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"time"

	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Settings holds the contents of the settings file. Addresses are IP addresses with ports.
type Settings struct {
	Instance InstanceSettings `toml:"instance"`
	Listen   ListenSettings   `toml:"listen"`
	Store    StoreSettings    `toml:"store"`
	Promises PromiseSettings  `toml:"promises"`
	Retry    RetrySettings    `toml:"retry"`
	Quota    QuotaSettings    `toml:"quota"`
	Place    PlaceSettings    `toml:"place"`
	Log      LogSettings      `toml:"log"`
}

// InstanceSettings identify the instance.
type InstanceSettings struct {
	ID       string  `toml:"id"`
	Zone     string  `toml:"zone"`
	Region   string  `toml:"region"`
	LinkMbps float64 `toml:"link_mbps"` // Bandwidth of the machine's own link in Mbit/s; 0 if unknown.
	MaxFDs   int     `toml:"max_fds"`   // File descriptors that the process may open; 0: the system's limit alone.
	MemoryMB int     `toml:"memory_mb"` // Memory that the process may use, in MB (2^20 bytes); 0 if unknown.

	FirstStart bool `toml:"first_start"` // The whole fleet starts for the first time.
}

// ListenSettings are the addresses that the process listens on.
type ListenSettings struct {
	Callers   string `toml:"callers"`   // Callers' requests.
	Ready     string `toml:"ready"`     // The platform's readiness checks.
	Discovery string `toml:"discovery"` // Discovery requests of callers.
	Peers     string `toml:"peers"`     // Datagrams of other instances.
	Metrics   string `toml:"metrics"`   // Metrics; empty for no such listener.
}

// StoreSettings locate the platform's store.
type StoreSettings struct {
	Address string `toml:"address"`
}

// PromiseSettings are the time limits that the operator relies on.
type PromiseSettings struct {
	ApplyWithin  time.Duration `toml:"apply_within"`  // From the acceptance of a configuration change to its effect.
	DrainWithin  time.Duration `toml:"drain_within"`  // From an upstream's draining to its last new request.
	StopWithin   time.Duration `toml:"stop_within"`   // From SIGTERM to the end of the process.
	DiscoveryTTL time.Duration `toml:"discovery_ttl"` // How long callers may keep a discovery answer.
	RevokeWithin time.Duration `toml:"revoke_within"` // From the acceptance of a configuration without a key to the last request with it that runs; 0: no such bound.
}

// schedule returns the schedule of a follower of the store, for the time in which changes must take effect.
func (p PromiseSettings) schedule() following.Schedule {
	return following.NewSchedule(min(p.ApplyWithin, p.DrainWithin))
}

// RetrySettings bound the retries of one service by all instances together.
type RetrySettings struct {
	Window time.Duration `toml:"window"`
	Ratio  float64       `toml:"ratio"` // Retries as a share of the requests in a window.
	Extra  float64       `toml:"extra"` // Additional retries per window; a fraction is allowed.
}

// QuotaSettings bound the requests of one client account that run in any window, on all instances together:
// (rate x window + burst) x (1 + excess) + tolerance.
type QuotaSettings struct {
	Window    time.Duration `toml:"window"`
	Excess    float64       `toml:"excess"`    // Share of the account's limit.
	Tolerance float64       `toml:"tolerance"` // Requests; a fraction is allowed.
}

// PlaceSettings control how requests are placed on upstreams.
type PlaceSettings struct {
	FloorShare  float64 `toml:"floor_share"`  // Share of a service's healthy upstreams to keep in use while many requests go unserved.
	BrokersFrom int     `toml:"brokers_from"` // Fleet size from which brokers place requests; the instances of a smaller fleet report to each other.
}

// LogSettings control what is logged.
type LogSettings struct {
	Requests string `toml:"requests"` // LogAll or LogUnserved.
}

// Values of LogSettings.Requests.
const (
	LogAll      = "all"
	LogUnserved = "unserved" // Requests that were rejected, late, got a server error or took more than one attempt.
)

// DefaultSettings returns the values of settings that a file omits.
func DefaultSettings() Settings {
	return Settings{
		Promises: PromiseSettings{ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second, StopWithin: 6 * time.Second, DiscoveryTTL: time.Second},
		Retry:    RetrySettings{Window: 10 * time.Second, Ratio: 0.2, Extra: 50},
		Quota:    QuotaSettings{Window: 5 * time.Second, Excess: 0.1, Tolerance: 20},
		Place:    PlaceSettings{FloorShare: 0.7, BrokersFrom: 150},
		Log:      LogSettings{Requests: LogUnserved},
	}
}

// maxSettingsBytes bounds a settings file.
const maxSettingsBytes = 64 << 10

// LoadSettings reads and validates a settings file. The error is a *tomlfile.ValidationError that lists every
// invalid setting.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err == nil && len(data) > maxSettingsBytes {
		err = fmt.Errorf("%d bytes, at most %d", len(data), maxSettingsBytes)
	}
	if err != nil {
		return nil, &tomlfile.ValidationError{Fields: []tomlfile.FieldError{{File: path, Problem: err.Error()}}}
	}
	return ParseSettings(path, data)
}

// ParseSettings decodes and validates the contents of a settings file; path is for its errors.
func ParseSettings(path string, data []byte) (*Settings, error) {
	c := &tomlfile.Collector{File: path}
	s := DefaultSettings()
	tomlfile.Decode(c, data, &s)
	s.validate(c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) validate(c *tomlfile.Collector) {
	for key, value := range map[string]string{"instance.id": s.Instance.ID, "instance.zone": s.Instance.Zone} {
		if value == "" {
			c.Add(key, "", "must not be empty")
		}
	}
	checkAddress(c, "listen.callers", s.Listen.Callers)
	checkAddress(c, "listen.ready", s.Listen.Ready)
	checkAddress(c, "listen.discovery", s.Listen.Discovery)
	checkAddress(c, "listen.peers", s.Listen.Peers)
	checkAddress(c, "store.address", s.Store.Address)
	if s.Listen.Metrics != "" {
		checkAddress(c, "listen.metrics", s.Listen.Metrics)
	}
	checkDuration(c, "promises.apply_within", s.Promises.ApplyWithin)
	checkDuration(c, "promises.drain_within", s.Promises.DrainWithin)
	checkDuration(c, "promises.stop_within", s.Promises.StopWithin)
	checkDuration(c, "promises.discovery_ttl", s.Promises.DiscoveryTTL)
	if s.Promises.RevokeWithin != 0 {
		checkDuration(c, "promises.revoke_within", s.Promises.RevokeWithin)
	}
	checkDuration(c, "retry.window", s.Retry.Window)
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		c.Add("retry.ratio", tomlfile.FormatValue(s.Retry.Ratio), "must be from 0 to 1")
	}
	if s.Retry.Extra < 0 {
		c.Add("retry.extra", tomlfile.FormatValue(s.Retry.Extra), "must not be negative")
	}
	checkDuration(c, "quota.window", s.Quota.Window)
	if !(s.Quota.Excess >= 0 && s.Quota.Excess <= maxQuotaExcess) {
		c.Add("quota.excess", tomlfile.FormatValue(s.Quota.Excess), "must be from 0 to %d", maxQuotaExcess)
	}
	if !(s.Quota.Tolerance >= 0 && s.Quota.Tolerance <= maxQuotaTolerance) {
		c.Add("quota.tolerance", tomlfile.FormatValue(s.Quota.Tolerance), "must be from 0 to %d", maxQuotaTolerance)
	}
	if s.Instance.LinkMbps < 0 {
		c.Add("instance.link_mbps", tomlfile.FormatValue(s.Instance.LinkMbps), "must not be negative")
	}
	if s.Instance.MaxFDs != 0 && s.Instance.MaxFDs < minFDs {
		c.Add("instance.max_fds", tomlfile.FormatValue(s.Instance.MaxFDs), "must be 0 or at least %d", minFDs)
	}
	if s.Instance.MemoryMB < 0 {
		c.Add("instance.memory_mb", tomlfile.FormatValue(s.Instance.MemoryMB), "must not be negative")
	}
	if s.Place.FloorShare < 0 || s.Place.FloorShare > 1 {
		c.Add("place.floor_share", tomlfile.FormatValue(s.Place.FloorShare), "must be from 0 to 1")
	}
	if s.Place.BrokersFrom < 1 {
		c.Add("place.brokers_from", tomlfile.FormatValue(s.Place.BrokersFrom), "must be at least 1")
	}
	if s.Log.Requests != LogAll && s.Log.Requests != LogUnserved {
		c.Add("log.requests", s.Log.Requests, "must be %q or %q", LogAll, LogUnserved)
	}
}

func checkAddress(c *tomlfile.Collector, key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(key, value, "must be an IP address and port")
	}
}

// minFDs leaves descriptors for some callers beside the instance's own sockets.
const minFDs = 64

const (
	maxQuotaExcess    = 10
	maxQuotaTolerance = 1_000_000
)

const (
	minDuration = 10 * time.Millisecond
	maxDuration = time.Hour
)

func checkDuration(c *tomlfile.Collector, key string, value time.Duration) {
	if value < minDuration || value > maxDuration {
		c.Add(key, value.String(), "must be from %s to %s", minDuration, maxDuration)
	}
}

// restartNeeded returns the names of the changed tables that only take effect after a restart.
func (s *Settings) restartNeeded(next *Settings) []string {
	var tables []string
	for name, pair := range map[string][2]any{
		"instance": {s.Instance, next.Instance},
		"listen":   {s.Listen, next.Listen},
		"store":    {s.Store, next.Store},
		"retry":    {s.Retry, next.Retry},
		"quota":    {s.Quota, next.Quota},
		"place":    {s.Place, next.Place},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			tables = append(tables, name)
		}
	}
	return tables
}
