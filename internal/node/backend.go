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

// maxRelayTries limits the carriers to which a request is relayed, one after another.
const maxRelayTries = 3

// Router returns the active routes, or nil before the first configuration.
func (n *Node) Router() *entry.Router {
	return n.router.Load()
}

// Serve runs a routed request, here or on another instance.
func (n *Node) Serve(ctx context.Context, r exchange.Request) exchange.Answer {
	if r.Key != "" && !r.Idempotent {
		return n.claims.Do(ctx, r)
	}
	carriers := n.carriers(r.Service)
	if len(carriers) == 0 || contains(carriers, n.self.Ref) {
		return n.dispatcher.Execute(ctx, r)
	}
	return n.relayRequest(ctx, r, carriers)
}

// carriers returns the carriers of a service in order of rank: the instances that send its
// requests to upstreams. Instances that accept no requests are left out.
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

// relayRequest relays a request to a carrier. It tries the next carrier if the request was
// not sent or is idempotent.
func (n *Node) relayRequest(ctx context.Context, r exchange.Request, carriers []fleet.Instance) exchange.Answer {
	ctx, span := n.opts.Tracer.Start(ctx, "relay", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r.TraceParent = tracing.Inject(ctx, r.TraceParent)
	answer := exchange.Rejection(result.CodeNoEndpoint, fmt.Sprintf("no carrier of service %q can be reached", r.Service))
	for i, to := range localFirst(carriers, n.self.Zone) {
		if i == maxRelayTries {
			return answer
		}
		span.SetAttributes(attribute.String("instance", to.Ref.String()))
		got, err := n.relayOnce(ctx, to, r, i)
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

// relayOnce relays a request to one carrier. For an idempotent request, each try but the last
// gets half of the remaining time, so that time is left for the next ones.
func (n *Node) relayOnce(ctx context.Context, to fleet.Instance, r exchange.Request, try int) (exchange.Answer, error) {
	if r.Idempotent && try < maxRelayTries-1 {
		limited, cancel := context.WithTimeout(ctx, time.Until(r.Deadline)/2)
		defer cancel()
		ctx = limited
	}
	return n.calls.Call(ctx, to.Ref, claim.RoleNone, r)
}

// localFirst returns the instances of a zone before the others and keeps the order of both.
func localFirst(instances []fleet.Instance, zone fleet.Zone) []fleet.Instance {
	var local, remote []fleet.Instance
	for _, in := range instances {
		if in.Zone == zone {
			local = append(local, in)
		} else {
			remote = append(remote, in)
		}
	}
	return append(local, remote...)
}

// HandleRelayed runs a request that another instance relayed.
func (n *Node) HandleRelayed(ctx context.Context, from fleet.Ref, role claim.Role, r exchange.Request) exchange.Answer {
	ctx = tracing.Extract(ctx, r.TraceParent)
	ctx, span := n.opts.Tracer.Start(ctx, "relayed", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	r.TraceParent = tracing.Inject(ctx, r.TraceParent)
	if role == claim.RoleNone {
		return n.dispatcher.Execute(ctx, r)
	}
	return n.claims.HandleRelayed(ctx, from, role, r)
}

// Outcome returns the outcome of the request with an idempotency key.
func (n *Node) Outcome(ctx context.Context, key string) exchange.Answer {
	return n.claims.Lookup(ctx, key)
}

// Discover returns the entry addresses that a caller should use, and a ticket for its
// idempotency keys.
func (n *Node) Discover(service fleet.Service, account fleet.Account, zone fleet.Zone) (client.Discovery, result.Code) {
	router := n.router.Load()
	m := n.members.Snapshot().Map
	if router == nil || m == nil || m.Len() == 0 {
		return client.Discovery{}, result.CodeNotReady
	}
	if code := checkAccess(router, service, account); code != result.CodeAnswered {
		return client.Discovery{}, code
	}
	f := n.opts.Settings.Fleet
	d := client.Discovery{MaxAgeMS: f.DiscoveryMaxAge.Milliseconds(), Revision: router.Config().Revision}
	m = n.excludeFailing(m, service, account, zone)
	for _, in := range m.Entries(service, account, zone, f.CarriersPerService, f.EntriesPerAnswer) {
		d.Entries = append(d.Entries, client.Entry{Address: in.EntryAddr, Zone: in.Zone})
	}
	d.Ticket = n.issueTicket(m, service, account, zone)
	return d, result.CodeAnswered
}

// excludeFailing returns the map that discovery uses. If the link from this instance to one
// that the answer would name is failing, it leaves out all instances with failing links, because
// the roster drops a dead instance only seconds after its peers notice the failure.
func (n *Node) excludeFailing(m *placement.Map, service fleet.Service, account fleet.Account, zone fleet.Zone) *placement.Map {
	f := n.opts.Settings.Fleet
	named := m.Entries(service, account, zone, f.CarriersPerService, f.EntriesPerAnswer)
	home, witness, _ := m.HomeAndWitnessNear(service, account, zone, f.CarriersPerService)
	if !n.anyFailing(named) && !n.anyFailing([]fleet.Instance{home, witness}) {
		return m
	}
	var reachable []fleet.Instance
	for _, in := range m.Instances() {
		if in.Ref == n.self.Ref || !n.links.Failing(in.Ref) {
			reachable = append(reachable, in)
		}
	}
	return placement.NewMap(reachable)
}

func (n *Node) anyFailing(instances []fleet.Instance) bool {
	for _, in := range instances {
		if !in.Ref.IsZero() && in.Ref != n.self.Ref && n.links.Failing(in.Ref) {
			return true
		}
	}
	return false
}

func checkAccess(router *entry.Router, service fleet.Service, account fleet.Account) result.Code {
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

// issueTicket returns an encoded new ticket, or "" if no instance can be its home.
func (n *Node) issueTicket(m *placement.Map, service fleet.Service, account fleet.Account, zone fleet.Zone) string {
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
