package demo

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/examples"
	"github.com/damaskcove/damaskcove/internal/local"
	"github.com/damaskcove/damaskcove/internal/template"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// Sizes and times of the demo's fleets.
const (
	instancesPerFirm = 6
	discoveryMaxAge  = time.Second
	stopTimeout      = 15 * time.Second
	serviceTime      = 8 * time.Millisecond
	accountsPerZone  = 2
	changeTimeout    = 20 * time.Second
)

// plan holds the parameters of one firm's fleet, traffic and gray fault.
type plan struct {
	name             examples.Firm
	zones            []string
	region           string
	lookup           fleet.Service   // Idempotent service, one endpoint of which gets grayFault.
	grayFault        upstream.Faults // Injected fault; health checks still pass.
	lookupsPerSecond float64
	ordersPerSecond  float64         // To each order service.
	orderServices    []fleet.Service // Services with non-idempotent requests.
}

var plans = []plan{
	{
		name: examples.BunyaRidge, zones: examples.BunyaRidgeZones, region: examples.BunyaRidgeRegion,
		lookup: "stock", grayFault: upstream.Faults{FailShare: 0.5, Health: upstream.HealthUp},
		lookupsPerSecond: 300, ordersPerSecond: 40, orderServices: []fleet.Service{"drums", "pickups"},
	},
	{
		name: examples.Qalqan, zones: examples.QalqanZones, region: examples.QalqanRegion,
		lookup: "fabrics", grayFault: upstream.Faults{SlowFactor: 10, Health: upstream.HealthUp},
		lookupsPerSecond: 200, ordersPerSecond: 40, orderServices: []fleet.Service{"cuts", "fittings"},
	},
}

func firmNames() []string {
	var names []string
	for _, p := range plans {
		names = append(names, string(p.name))
	}
	return names
}

// firm is one firm's fleet with its upstreams and callers.
type firm struct {
	plan
	templates *template.Set
	fleet     *local.Fleet
	watch     *local.CutOffCounter
	clients   []*client.Client
	entries   []string
	revision  fleet.Revision
	random    *rand.Rand
}

// startFirm starts a firm's fleet and waits until it is ready.
func startFirm(ctx context.Context, p plan, seed uint64, log *slog.Logger) (*firm, error) {
	set, err := examples.Templates(p.name)
	if err != nil {
		return nil, err
	}
	f := &firm{plan: p, templates: set, watch: local.NewCutOffCounter(), random: rand.New(rand.NewPCG(seed, 7))}
	f.fleet, err = local.Start(local.Options{
		Name:            set.Fleet,
		Zones:           zonesOf(p),
		Region:          fleet.Region(p.region),
		Seed:            seed,
		DiscoveryMaxAge: discoveryMaxAge,
		StopTimeout:     stopTimeout,
		ListLag:         500 * time.Millisecond,
		Log:             log.With("firm", string(p.name)),
	})
	if err != nil {
		return nil, err
	}
	if err := f.populate(ctx); err != nil {
		return f, err
	}
	return f, f.newClients(seed)
}

func zonesOf(p plan) []fleet.Zone {
	var zones []fleet.Zone
	for _, z := range p.zones {
		zones = append(zones, fleet.Zone(z))
	}
	return zones
}

// populate adds upstreams, the configuration and the instances.
func (f *firm) populate(ctx context.Context) error {
	if err := f.addUpstreams(); err != nil {
		return err
	}
	change := rollout.Change{Services: f.templates.Services, Accounts: f.templates.Accounts}
	accepted, err := f.fleet.Apply(ctx, change, string(f.name)+"-first")
	if err != nil {
		return err
	}
	f.revision = accepted.Revision
	for i := range instancesPerFirm {
		if _, err := f.fleet.Add(fleet.Zone(f.zones[i%len(f.zones)])); err != nil {
			return err
		}
	}
	if err := f.fleet.WaitReady(ctx, f.revision); err != nil {
		return fmt.Errorf("firm %s: %w", f.name, err)
	}
	f.entries = f.fleet.EntryAddrs()
	return nil
}

func (f *firm) addUpstreams() error {
	for _, s := range f.templates.Services {
		size := f.templates.Sizes[s.Name]
		for i := range size.Endpoints {
			if _, err := f.fleet.Host.Add(f.spec(s, i, size.SlotsPerEndpoint)); err != nil {
				return err
			}
		}
	}
	return nil
}

// spec describes endpoint i of a service. Paths of routes that are not idempotent are
// recorded as non-idempotent.
func (f *firm) spec(s rollout.ServiceTemplate, i, slots int) upstream.Spec {
	spec := upstream.Spec{
		Service: s.Name,
		Zone:    fleet.Zone(f.zones[i%len(f.zones)]),
		Slots:   slots,
		Median:  serviceTime,
	}
	for _, r := range s.Routes {
		if !r.Idempotent {
			spec.NonIdempotentPaths = append(spec.NonIdempotentPaths, r.PathPrefix)
		}
	}
	return spec
}

// newClients creates callers in every zone, which share the connections that watch observes.
func (f *firm) newClients(seed uint64) error {
	shared := &http.Client{
		Transport:     f.watch.WrapTransport(client.NewHTTP().Transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	accounts := f.accountsForAll()
	for i, zone := range f.zones {
		for j := range accountsPerZone {
			c, err := client.New(client.Options{
				Entries: f.entries,
				Account: accounts[(i*accountsPerZone+j)%len(accounts)],
				Zone:    fleet.Zone(zone),
				HTTP:    shared,
				Random:  rand.New(rand.NewPCG(seed, uint64(100+len(f.clients)))),
			})
			if err != nil {
				return err
			}
			f.clients = append(f.clients, c)
		}
	}
	return nil
}

// accountsForAll returns the client accounts that are allowed to call every service.
func (f *firm) accountsForAll() []fleet.Account {
	var accounts []fleet.Account
	for _, a := range f.templates.Accounts {
		if len(a.Services) == len(f.templates.Services) {
			accounts = append(accounts, a.Name)
		}
	}
	return accounts
}

// path returns the path of a service's first route.
func (f *firm) path(service fleet.Service) string {
	for _, s := range f.templates.Services {
		if s.Name == service {
			return strings.TrimSuffix(s.Routes[0].PathPrefix, "/")
		}
	}
	return "/"
}

// deadline returns how long callers of a service wait: a second more than the service's
// deadline in the fleet.
func (f *firm) deadline(service fleet.Service) time.Duration {
	for _, s := range f.templates.Services {
		if s.Name == service {
			return s.Deadline + time.Second
		}
	}
	return time.Second
}
