package main

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// policy decides which endpoints the carriers use.
type policy interface {
	// observe takes one attempt of a carrier.
	observe(now time.Time, carrier, endpoint int, failed bool, latency time.Duration, trial bool)
	// tick is called for each carrier every 50 ms.
	tick(now time.Time, carrier int)
	// deliver takes a message that the policy asked to be sent earlier.
	deliver(now time.Time, m message)
	// state returns how an endpoint stands at a carrier.
	state(now time.Time, carrier, endpoint int) health.State
	// ejections returns the times that endpoints were taken out of service, at whichever carrier.
	ejections() int
	// outbox returns the messages to send since the last call.
	outbox() []message
}

// message is on its way between a carrier and the judge.
type message struct {
	carrier int
	send    health.Send
}

// judged is the policy of package health: carriers and one judge.
type judged struct {
	judge    *health.Evaluator
	self     fleet.Instance
	carriers []*health.Carrier
	all      []fleet.Instance
	names    []fleet.Endpoint
	views    [][]health.EndpointView
	pending  []message
	ejected  int    // Decisions that took an endpoint out of service.
	peaks    *peaks // Nil unless scores are counted.
}

func newJudged(w workload, cfg health.Config, all []fleet.Instance, now time.Time) *judged {
	upstreams := w.upstreams()
	p := health.Parameters{
		Service:                        w.service,
		Revision:                       1,
		FloorSlots:                     int(w.floor * float64(w.endpoints*w.slots)),
		FalseEjectionsPerEndpointMonth: w.accepted,
		ExpectedRequestsPerSecond:      w.expected,
	}
	a := health.Assignment{Generation: 1, Evaluator: all[0].Ref, Carriers: all}
	j := &judged{judge: health.NewEvaluator(all[0], cfg), self: all[0], all: all, views: make([][]health.EndpointView, len(all))}
	j.judge.Configure(now, p, a, upstreams)
	for i, self := range all {
		c := health.NewCarrier(self, cfg)
		c.Configure(now, p, a, upstreams)
		j.carriers = append(j.carriers, c)
		j.views[i] = c.View(now)
	}
	for _, u := range upstreams {
		j.names = append(j.names, u.Endpoint)
	}
	return j
}

func (j *judged) observe(now time.Time, carrier, endpoint int, failed bool, latency time.Duration, trial bool) {
	j.carriers[carrier].Observe(now, health.Attempt{Endpoint: j.names[endpoint], Failed: failed, Latency: latency, Trial: trial})
}

func (j *judged) tick(now time.Time, carrier int) {
	j.views[carrier] = j.carriers[carrier].View(now)
	for _, s := range j.carriers[carrier].Tick(now) {
		j.pending = append(j.pending, message{carrier: carrier, send: s})
	}
	if carrier == 0 {
		j.judge.Tick(now)
	}
}

func (j *judged) deliver(now time.Time, m message) {
	if m.send.Evidence == nil {
		if j.carriers[m.carrier].Deliver(now, j.self.Ref, m.send.Decision) == nil {
			j.views[m.carrier] = j.carriers[m.carrier].View(now)
		}
		return
	}
	sends, err := j.judge.Deliver(now, j.all[m.carrier].Ref, m.send.Evidence)
	if err != nil {
		return
	}
	for _, d := range j.judge.Transitions() {
		if d.Action == health.ActionEject || d.Action == health.ActionAvoid {
			j.ejected++
		}
	}
	if j.peaks != nil {
		j.peaks.add(j.judge.Explain(now))
	}
	j.pending = append(j.pending, message{carrier: m.carrier, send: sends[0]})
}

func (j *judged) state(_ time.Time, carrier, endpoint int) health.State {
	return j.views[carrier][endpoint].State
}

func (j *judged) ejections() int { return j.ejected }

func (j *judged) outbox() []message {
	taken := j.pending
	j.pending = nil
	return taken
}
