package outlook

import "time"

// recentLength is the number of outcomes of an endpoint after which the model learns from the older
// half of them. The newer half tells in which state the endpoint was: a single failure is an error of
// its request if the next requests are served, and the beginning of a failure of the endpoint if they fail.
const recentLength = 16

// recent holds the last outcomes of an endpoint.
type recent struct {
	before   float64   // Chance after the outcome that came before the first.
	last     time.Time // Time of the last one; zero if there was none.
	count    int
	outcomes [recentLength]timedOutcome
}

type timedOutcome struct {
	seconds float32 // Since the outcome before it.
	outcome Outcome
}

// add appends an outcome at a time. before is the estimate after the outcome before it. Refusals are left
// out: where a whole service sheds load, the model would learn that failing endpoints serve.
func (r *recent) add(m *Model, before float64, at time.Time, o Outcome) {
	if o == RefusedEarly || o == Refused {
		return
	}
	if r.last.IsZero() {
		r.before, r.last = before, at
	}
	passed := at.Sub(r.last)
	if passed > 0 {
		r.last = at
	}
	r.outcomes[r.count] = timedOutcome{seconds: float32(max(passed, 0).Seconds()), outcome: o}
	r.count++
	if r.count == recentLength {
		r.learn(m)
	}
}

// step is what the model says of one outcome and the time before it.
type step struct {
	toFailing, toHealthy float64 // Changes since the outcome before.
	healthy, failing     float64 // Likelihoods of the outcome.
	chance               float64 // That the endpoint is healthy, by this outcome and those before it.
}

// learn adds the expected counts of the older half of the outcomes to the model and drops them. This
// is the forward-backward algorithm.
func (r *recent) learn(m *Model) {
	var steps [recentLength]step
	chance := r.before
	for i, o := range r.outcomes {
		s := &steps[i]
		s.toFailing, s.toHealthy = m.change(float64(o.seconds))
		s.healthy, s.failing = m.likelihood(o.outcome)
		healthy := (chance*(1-s.toFailing) + (1-chance)*s.toHealthy) * s.healthy
		failing := (chance*s.toFailing + (1-chance)*(1-s.toHealthy)) * s.failing
		chance = healthy / (healthy + failing)
		s.chance = chance
	}
	laterHealthy, laterFailing := 1.0, 1.0 // Likelihoods of all later outcomes.
	for i := recentLength - 1; i >= 0; i-- {
		s := &steps[i]
		healthy, failing := s.healthy*laterHealthy, s.failing*laterFailing
		if i < recentLength/2 {
			before := r.before
			if i > 0 {
				before = steps[i-1].chance
			}
			m.count(before, s, float64(r.outcomes[i].seconds), r.outcomes[i].outcome, healthy, failing)
		}
		laterHealthy = (1-s.toFailing)*healthy + s.toFailing*failing
		laterFailing = s.toHealthy*healthy + (1-s.toHealthy)*failing
		all := laterHealthy + laterFailing
		laterHealthy, laterFailing = laterHealthy/all, laterFailing/all
	}
	m.healthy.forget()
	m.failing.forget()
	m.update()
	r.before = steps[recentLength/2-1].chance
	r.count = copy(r.outcomes[:], r.outcomes[recentLength/2:])
}

// count adds the expected counts of one outcome and of the time before it. healthy and failing are
// the likelihoods of the outcome and of all later ones.
func (m *Model) count(before float64, s *step, seconds float64, o Outcome, healthy, failing float64) {
	stayHealthy, toFailing := before*(1-s.toFailing)*healthy, before*s.toFailing*failing
	stayFailing, toHealthy := (1-before)*(1-s.toHealthy)*failing, (1-before)*s.toHealthy*healthy
	all := stayHealthy + toFailing + stayFailing + toHealthy
	m.healthy.add(o, (stayHealthy+toHealthy)/all)
	m.failing.add(o, (stayFailing+toFailing)/all)
	m.healthy.exits += toFailing / all
	m.failing.exits += toHealthy / all
	m.healthy.seconds += seconds * (stayHealthy + (toFailing+toHealthy)/2) / all
	m.failing.seconds += seconds * (stayFailing + (toFailing+toHealthy)/2) / all
}
