package main

import (
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// upstreamSettings is one upstream endpoint on the platform's list.
type upstreamSettings struct {
	Service string `toml:"service"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Slots   int    `toml:"slots"`
}

// instanceSettings is one entry instance on the platform's list.
type instanceSettings struct {
	ID     string `toml:"id"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	Entry  string `toml:"entry"`
	Peer   string `toml:"peer"`
}

// listing returns the list in the settings, and whether it has any entries.
func (s platformSettings) listing() (metastore.Listing, bool) {
	l := metastore.Listing{Upstreams: make(map[fleet.Service][]fleet.Upstream)}
	for _, u := range s.Upstreams {
		service := fleet.Service(u.Service)
		l.Upstreams[service] = append(l.Upstreams[service], fleet.Upstream{
			Endpoint: fleet.Endpoint(u.Address), Zone: fleet.Zone(u.Zone), Slots: u.Slots, State: fleet.UpstreamReady,
		})
	}
	for _, i := range s.Instances {
		l.Instances = append(l.Instances, fleet.Instance{
			Ref: fleet.Ref{ID: fleet.InstanceID(i.ID)}, Zone: fleet.Zone(i.Zone), Region: fleet.Region(i.Region), EntryAddr: i.Entry, PeerAddr: i.Peer,
		})
	}
	return l, len(s.Upstreams)+len(s.Instances) > 0
}

func validateListing(c *tomlfile.Collector, upstreams []upstreamSettings, instances []instanceSettings) {
	for i, u := range upstreams {
		key := fmt.Sprintf("upstreams[%d]", i)
		validateNotEmpty(c, key+".service", u.Service)
		validateAddress(c, key+".address", u.Address)
		if u.Slots < 1 {
			c.Add(key+".slots", fmt.Sprint(u.Slots), "must be at least 1")
		}
	}
	for i, instance := range instances {
		key := fmt.Sprintf("instances[%d]", i)
		validateNotEmpty(c, key+".id", instance.ID)
		validateAddress(c, key+".entry", instance.Entry)
		validateAddress(c, key+".peer", instance.Peer)
	}
}

func validateAddress(c *tomlfile.Collector, key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.Add(key, tomlfile.FormatValue(text), "must be an IP address and port; host names are not accepted")
	}
}

func validateLoopback(c *tomlfile.Collector, key, text string) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || !addr.Addr().IsLoopback() {
		c.Add(key, tomlfile.FormatValue(text), `must be a loopback IP address and port, such as "127.0.0.1:7070"`)
	}
}

func validateNotEmpty(c *tomlfile.Collector, key, text string) {
	if text == "" {
		c.Add(key, "", "must be set")
	}
}

func validateNotNegative(c *tomlfile.Collector, key string, d time.Duration) {
	if d < 0 {
		c.Add(key, d.String(), "must not be negative")
	}
}

// addressError adds the result code to the error of an address that is in use.
func addressError(err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return &commandError{exit: exitFailed, code: result.CodeAddressInUse, err: err}
	}
	return err
}
