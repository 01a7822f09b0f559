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
	// tick is called for each carrier every 50 ms.
	tick(now time.Time, carrier int)
	// deliver handles a message that outbox returned earlier.
	deliver(now time.Time, m message)
	// state returns the state of an endpoint at a carrier.
	state(now time.Time, carrier, endpoint int) health.State
	// ejections returns how often endpoints were sends out of service, over all carriers.
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
	j := &evaluatorPolicy{evaluator: health.NewEvaluator(instances[0], cfg), self: instances[0], instances: instances, views: make([][]health.EndpointView, len(instances))}
	j.evaluator.Configure(now, p, a, upstreams)
	for i, self := range instances {
		c := health.NewCarrier(self, cfg)
		c.Configure(now, p, a, upstreams)
		j.carriers = append(j.carriers, c)
		j.views[i] = c.View(now)
	}
	for _, u := range upstreams {
		j.endpoints = append(j.endpoints, u.Endpoint)
	}
	return j
}

func (j *evaluatorPolicy) observe(now time.Time, carrier, endpoint int, failed bool, latency time.Duration, trial bool) {
	j.carriers[carrier].Observe(now, health.Attempt{Endpoint: j.endpoints[endpoint], Failed: failed, Latency: latency, Trial: trial})
}

func (j *evaluatorPolicy) tick(now time.Time, carrier int) {
	j.views[carrier] = j.carriers[carrier].View(now)
	for _, s := range j.carriers[carrier].Tick(now) {
		j.pending = append(j.pending, message{carrier: carrier, send: s})
	}
	if carrier == 0 {
		j.evaluator.Tick(now)
	}
}

func (j *evaluatorPolicy) deliver(now time.Time, m message) {
	if m.send.Evidence == nil {
		if j.carriers[m.carrier].Deliver(now, j.self.Ref, m.send.Decision) == nil {
			j.views[m.carrier] = j.carriers[m.carrier].View(now)
		}
		return
	}
	sends, err := j.evaluator.Deliver(now, j.instances[m.carrier].Ref, m.send.Evidence)
	if err != nil {
		return
	}
	for _, d := range j.evaluator.Transitions() {
		if d.Action == health.ActionEject || d.Action == health.ActionAvoid {
			j.ejected++
		}
	}
	if j.peaks != nil {
		j.peaks.add(j.evaluator.Explain(now))
	}
	j.pending = append(j.pending, message{carrier: m.carrier, send: sends[0]})
}

func (j *evaluatorPolicy) state(_ time.Time, carrier, endpoint int) health.State {
	return j.views[carrier][endpoint].State
}

func (j *evaluatorPolicy) ejections() int { return j.ejected }

func (j *evaluatorPolicy) outbox() []message {
	messages := j.pending
	j.pending = nil
	return messages
}
