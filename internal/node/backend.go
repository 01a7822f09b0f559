package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/placement"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/entry"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/relay"
	"github.com/damaskcove/damaskcove/internal/tracing"
)

// maxRelayTries bounds the carriers that a request is passed to, one after another.
const maxRelayTries = 3

// Router returns the routes in force, or nil before the first configuration.
func (n *Node) Router() *entry.Router {
	return n.router.Load()
}

// Serve runs a routed request somewhere in the fleet.
func (n *Node) Serve(ctx context.Context, r exchange.Request) exchange.Answer {
	if r.Key != "" && !r.Idempotent {
		return n.claims.Do(ctx, r)
	}
	carriers := n.carriers(r.Service)
	if len(carriers) == 0 || contains(carriers, n.self.Ref) {
		return n.dispatcher.Execute(ctx, r)
	}
	return n.pass(ctx, r, carriers)
}

// carriers returns the instances that route to a service and take work, nearest first.
func (n *Node) carriers(s fleet.Service) []fleet.Instance {
	m := n.members.Snapshot().Map
	if m == nil {
		return nil
	}
	count := n.opts.Settings.Fleet.CarriersPerService
	return m.Carriers(s, count)
}

func contains(instances []fleet.Instance, ref fleet.Ref) bool {
	return slices.ContainsFunc(instances, func(in fleet.Instance) bool { return in.Ref == ref })
}

// pass relays a request to a carrier. Another carrier is tried when the request did
// not leave, or when it may be repeated.
func (n *Node) pass(ctx context.Context, r exchange.Request, carriers []fleet.Instance) exchange.Answer {
	ctx, span := n.opts.Tracer.Start(ctx, "relay", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r.TraceParent = tracing.Inject(ctx, r.TraceParent)
	answer := exchange.Rejection(result.CodeNoEndpoint, fmt.Sprintf("no carrier of service %q can be reached", r.Service))
	for i, to := range nearestFirst(carriers, n.self.Zone) {
		if i == maxRelayTries {
			return answer
		}
		span.SetAttributes(attribute.String("instance", to.Ref.String()))
		got, err := n.callOnce(ctx, to, r, i)
		if err == nil {
			return got
		}
		if errors.Is(err, relay.ErrUnreachable) {
			continue
		}
		answer = exchange.Rejection(result.CodeRelayFailed, err.Error())
		if !r.Idempotent {
			return answer
		}
	}
	return answer
}

// callOnce passes a request to one carrier. A request that may be repeated leaves time for the tries after it.
func (n *Node) callOnce(ctx context.Context, to fleet.Instance, r exchange.Request, try int) (exchange.Answer, error) {
	if r.Idempotent && try < maxRelayTries-1 {
		limited, cancel := context.WithTimeout(ctx, time.Until(r.Deadline)/2)
		defer cancel()
		ctx = limited
	}
	return n.calls.Call(ctx, to.Ref, claim.RoleNone, r)
}

// nearestFirst returns the instances of a zone before the others, both in their order.
func nearestFirst(instances []fleet.Instance, zone fleet.Zone) []fleet.Instance {
	var near, far []fleet.Instance
	for _, in := range instances {
		if in.Zone == zone {
			near = append(near, in)
		} else {
			far = append(far, in)
		}
	}
	return append(near, far...)
}

// Relayed runs a request that another instance passed on.
func (n *Node) Relayed(ctx context.Context, from fleet.Ref, role claim.Role, r exchange.Request) exchange.Answer {
	ctx = tracing.Extract(ctx, r.TraceParent)
	ctx, span := n.opts.Tracer.Start(ctx, "relayed", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	r.TraceParent = tracing.Inject(ctx, r.TraceParent)
	if role == claim.RoleNone {
		return n.dispatcher.Execute(ctx, r)
	}
	return n.claims.Relayed(ctx, from, role, r)
}

// Outcome tells what came of an idempotency key.
func (n *Node) Outcome(ctx context.Context, key string) exchange.Answer {
	return n.claims.Lookup(ctx, key)
}

// Discover returns the entries that a caller should use, with a ticket for its keys.
func (n *Node) Discover(service fleet.Service, account fleet.Account, zone fleet.Zone) (client.Discovery, result.Code) {
	router := n.router.Load()
	m := n.members.Snapshot().Map
	if router == nil || m == nil || m.Len() == 0 {
		return client.Discovery{}, result.CodeNotReady
	}
	if code := known(router, service, account); code != result.CodeAnswered {
		return client.Discovery{}, code
	}
	f := n.opts.Settings.Fleet
	d := client.Discovery{MaxAgeMS: f.DiscoveryMaxAge.Milliseconds(), Revision: router.Config().Revision}
	m = n.avoidFailing(m, service, account, zone)
	for _, in := range m.Entries(service, account, zone, f.CarriersPerService, f.EntriesPerAnswer) {
		d.Entries = append(d.Entries, client.Entry{Address: in.EntryAddr, Zone: in.Zone})
	}
	d.Ticket = n.issue(m, service, account, zone)
	return d, result.CodeAnswered
}

// avoidFailing returns the map that discovery uses. When the link from here to an
// instance that it would name fails, the instances with failing links are left out:
// the roster learns of a dead instance seconds later than its neighbours.
func (n *Node) avoidFailing(m *placement.Map, service fleet.Service, account fleet.Account, zone fleet.Zone) *placement.Map {
	f := n.opts.Settings.Fleet
	named := m.Entries(service, account, zone, f.CarriersPerService, f.EntriesPerAnswer)
	home, witness, _ := m.HomeAndWitnessNear(service, account, zone, f.CarriersPerService)
	if !n.anyFailing(named) && !n.anyFailing([]fleet.Instance{home, witness}) {
		return m
	}
	var working []fleet.Instance
	for _, in := range m.Instances() {
		if in.Ref == n.self.Ref || !n.links.Failing(in.Ref) {
			working = append(working, in)
		}
	}
	return placement.NewMap(working)
}

func (n *Node) anyFailing(instances []fleet.Instance) bool {
	for _, in := range instances {
		if !in.Ref.IsZero() && in.Ref != n.self.Ref && n.links.Failing(in.Ref) {
			return true
		}
	}
	return false
}

func known(router *entry.Router, service fleet.Service, account fleet.Account) result.Code {
	c := router.Config()
	if _, ok := c.Services[service]; !ok {
		return result.CodeNoRoute
	}
	a, ok := c.Accounts[account]
	if !ok {
		return result.CodeUnknownAccount
	}
	if !slices.Contains(a.Services, service) {
		return result.CodeAccountNotAllowed
	}
	return result.CodeAnswered
}

// issue returns the text of a new ticket, or nothing when no instance can be its home.
func (n *Node) issue(m *placement.Map, service fleet.Service, account fleet.Account, zone fleet.Zone) string {
	s := n.opts.Settings
	home, witness, ok := m.HomeAndWitnessNear(service, account, zone, s.Fleet.CarriersPerService)
	if !ok {
		return ""
	}
	return n.claims.Issue(claim.Ticket{
		Fleet:   s.Instance.Fleet,
		Home:    home.Ref,
		Witness: witness.Ref,
		Service: service,
		Account: account,
		Expires: time.Now().Add(s.Tickets.Lifetime),
	})
}
