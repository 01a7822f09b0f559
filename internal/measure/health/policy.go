package main

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// policy decides which endpoints the carriers use.
type policy interface {
	// observe records the result of one attempt of a carrier.
	observe(now time.Time, carrier, endpoint int, failed bool, latency time.Duration, trial bool)
	// tick is called for each carrier every control.TickInterval.
	tick(now time.Time, carrier int)
	// deliver handles a message that outbox returned earlier.
	deliver(now time.Time, m message)
	// state returns the state of an endpoint at a carrier.
	state(now time.Time, carrier, endpoint int) health.State
	// ejections returns how often endpoints were taken out of service, over all carriers.
	ejections() int
	// outbox returns the messages to send since the last call.
	outbox() []message
}

// message is a message between a carrier and the evaluator.
type message struct {
	carrier int
	send    health.Send
}

// evaluatorPolicy is the policy of package health, with carriers and one evaluator.
type evaluatorPolicy struct {
	evaluator *health.Evaluator
	self      fleet.Instance
	carriers  []*health.Carrier
	instances []fleet.Instance
	endpoints []fleet.Endpoint
	views     [][]health.EndpointView
	pending   []message
	ejected   int          // Decisions that took an endpoint out of service.
	peaks     *peakCounter // Nil unless scores are counted.
}

func newEvaluatorPolicy(w workload, cfg health.Config, instances []fleet.Instance, now time.Time) *evaluatorPolicy {
	upstreams := w.upstreams()
	p := health.Parameters{
		Service:                        w.service,
		Revision:                       1,
		FloorSlots:                     int(w.floor * float64(w.endpoints*w.slots)),
		FalseEjectionsPerEndpointMonth: w.acceptedRate,
		ExpectedRequestsPerSecond:      w.expectedRate,
	}
	a := health.Assignment{Generation: 1, Evaluator: instances[0].Ref, Carriers: instances}
	ep := &evaluatorPolicy{evaluator: health.NewEvaluator(instances[0], cfg), self: instances[0], instances: instances, views: make([][]health.EndpointView, len(instances))}
	ep.evaluator.Configure(now, p, a, upstreams)
	for i, self := range instances {
		c := health.NewCarrier(self, cfg)
		c.Configure(now, p, a, upstreams)
		ep.carriers = append(ep.carriers, c)
		ep.views[i] = c.View(now)
	}
	for _, u := range upstreams {
		ep.endpoints = append(ep.endpoints, u.Endpoint)
	}
	return ep
}

func (ep *evaluatorPolicy) observe(now time.Time, carrier, endpoint int, failed bool, latency time.Duration, trial bool) {
	ep.carriers[carrier].Observe(now, health.Attempt{Endpoint: ep.endpoints[endpoint], Failed: failed, Latency: latency, Trial: trial})
}

func (ep *evaluatorPolicy) tick(now time.Time, carrier int) {
	ep.views[carrier] = ep.carriers[carrier].View(now)
	for _, s := range ep.carriers[carrier].Tick(now) {
		ep.pending = append(ep.pending, message{carrier: carrier, send: s})
	}
	if carrier == 0 {
		ep.evaluator.Tick(now)
	}
}

func (ep *evaluatorPolicy) deliver(now time.Time, m message) {
	if m.send.Evidence == nil {
		if ep.carriers[m.carrier].Deliver(now, ep.self.Ref, m.send.Decision) == nil {
			ep.views[m.carrier] = ep.carriers[m.carrier].View(now)
		}
		return
	}
	sends, err := ep.evaluator.Deliver(now, ep.instances[m.carrier].Ref, m.send.Evidence)
	if err != nil {
		return
	}
	for _, d := range ep.evaluator.Transitions() {
		if d.Action == health.ActionEject || d.Action == health.ActionAvoid {
			ep.ejected++
		}
	}
	if ep.peaks != nil {
		ep.peaks.add(ep.evaluator.Explain(now))
	}
	ep.pending = append(ep.pending, message{carrier: m.carrier, send: sends[0]})
}

func (ep *evaluatorPolicy) state(_ time.Time, carrier, endpoint int) health.State {
	return ep.views[carrier][endpoint].State
}

func (ep *evaluatorPolicy) ejections() int { return ep.ejected }

func (ep *evaluatorPolicy) outbox() []message {
	messages := ep.pending
	ep.pending = nil
	return messages
}
