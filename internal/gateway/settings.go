package gateway

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"time"

	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Settings are what a process reads from its settings file. Addresses are IP numbers and ports.
type Settings struct {
	Instance InstanceSettings `toml:"instance"`
	Listen   ListenSettings   `toml:"listen"`
	Store    StoreSettings    `toml:"store"`
	Promises PromiseSettings  `toml:"promises"`
	Retry    RetrySettings    `toml:"retry"`
	Place    PlaceSettings    `toml:"place"`
	Log      LogSettings      `toml:"log"`
}

// InstanceSettings tell which instance the process is.
type InstanceSettings struct {
	ID     string  `toml:"id"`
	Zone   string  `toml:"zone"`
	Region string  `toml:"region"`
	Link   float64 `toml:"link_mbps"` // Of the machine's own link, in Mbit/s; 0 where it is not known.

	FirstStart bool `toml:"first_start"` // The whole fleet starts for the first time.
}

// ListenSettings are the addresses that the process listens on.
type ListenSettings struct {
	Callers   string `toml:"callers"`   // Requests.
	Ready     string `toml:"ready"`     // The platform's checks.
	Discovery string `toml:"discovery"` // Callers that ask where to connect.
	Peers     string `toml:"peers"`     // Datagrams of other instances.
	Metrics   string `toml:"metrics"`   // Empty for none.
}

// StoreSettings tell where the platform's store is.
type StoreSettings struct {
	Address string `toml:"address"`
}

// PromiseSettings are the times that the operator counts on.
type PromiseSettings struct {
	ApplyWithin  time.Duration `toml:"apply_within"`  // From a change's acceptance to its effect.
	DrainWithin  time.Duration `toml:"drain_within"`  // From an upstream's leaving to its last request.
	StopWithin   time.Duration `toml:"stop_within"`   // From SIGTERM to the end of the process.
	DiscoveryTTL time.Duration `toml:"discovery_ttl"` // How long callers may keep a discovery answer.
}

// RetrySettings bound repeats of one service by all instances.
type RetrySettings struct {
	Window time.Duration `toml:"window"`
	Ratio  float64       `toml:"ratio"` // Of the requests in a window.
	Extra  float64       `toml:"extra"` // Besides, in a window; a part of a whole one counts as such.
}

// PlaceSettings tell how requests are placed on upstreams.
type PlaceSettings struct {
	FloorShare  float64 `toml:"floor_share"`  // Of a service's sound upstreams, to be in use while many requests go unserved.
	BrokersFrom int     `toml:"brokers_from"` // Instances from which brokers place requests; a smaller fleet's tell each other everything.
}

// LogSettings tell what is logged.
type LogSettings struct {
	Requests string `toml:"requests"` // "all", or "unserved" for those that were not answered by an upstream at the first try.
}

// Words of LogSettings.Requests.
const (
	LogAll      = "all"
	LogUnserved = "unserved"
)

// DefaultSettings returns the settings for what a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		Promises: PromiseSettings{ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second, StopWithin: 6 * time.Second, DiscoveryTTL: time.Second},
		Retry:    RetrySettings{Window: 10 * time.Second, Ratio: 0.2, Extra: 50},
		Place:    PlaceSettings{FloorShare: 0.7, BrokersFrom: 150},
		Log:      LogSettings{Requests: LogUnserved},
	}
}

// maxSettingsBytes bounds a settings file.
const maxSettingsBytes = 64 << 10

// LoadSettings reads a settings file. The error is a *tomlfile.ValidationError that lists every fault.
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

// ParseSettings reads settings from the bytes of a file that is named path.
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
	checkTime(c, "promises.apply_within", s.Promises.ApplyWithin)
	checkTime(c, "promises.drain_within", s.Promises.DrainWithin)
	checkTime(c, "promises.stop_within", s.Promises.StopWithin)
	checkTime(c, "promises.discovery_ttl", s.Promises.DiscoveryTTL)
	checkTime(c, "retry.window", s.Retry.Window)
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		c.Add("retry.ratio", tomlfile.FormatValue(s.Retry.Ratio), "must be from 0 to 1")
	}
	if s.Retry.Extra < 0 {
		c.Add("retry.extra", tomlfile.FormatValue(s.Retry.Extra), "must not be negative")
	}
	if s.Instance.Link < 0 {
		c.Add("instance.link_mbps", tomlfile.FormatValue(s.Instance.Link), "must not be negative")
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
		c.Add(key, value, "must be an IP number and port")
	}
}

const (
	minTime = 10 * time.Millisecond
	maxTime = time.Hour
)

func checkTime(c *tomlfile.Collector, key string, value time.Duration) {
	if value < minTime || value > maxTime {
		c.Add(key, value.String(), "must be from %s to %s", minTime, maxTime)
	}
}

// restartNeeded returns the tables that cannot change while the process runs and differ.
func (s *Settings) restartNeeded(next *Settings) []string {
	var tables []string
	for name, pair := range map[string][2]any{
		"instance": {s.Instance, next.Instance},
		"listen":   {s.Listen, next.Listen},
		"store":    {s.Store, next.Store},
		"retry":    {s.Retry, next.Retry},
		"place":    {s.Place, next.Place},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			tables = append(tables, name)
		}
	}
	return tables
}
