package endpoints

import (
	"errors"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// outbox groups messages by destination, so that one envelope carries those of several services.
type outbox struct {
	evidence  map[fleet.Ref]*ServiceEvidence
	decisions map[fleet.Ref]*ServiceDecision
}

func (o *outbox) add(service fleet.Service, sends []health.Send) {
	for _, s := range sends {
		if s.Evidence != nil {
			o.addEvidence(s.To, EvidenceEntry{Service: service, Evidence: *s.Evidence})
		}
		if s.Decision != nil {
			o.addDecision(s.To, DecisionEntry{Service: service, Decision: *s.Decision})
		}
	}
}

func (o *outbox) addEvidence(to fleet.Ref, e EvidenceEntry) {
	if o.evidence == nil {
		o.evidence = make(map[fleet.Ref]*ServiceEvidence)
	}
	if o.evidence[to] == nil {
		o.evidence[to] = &ServiceEvidence{}
	}
	o.evidence[to].Entries = append(o.evidence[to].Entries, e)
}

func (o *outbox) addDecision(to fleet.Ref, e DecisionEntry) {
	if o.decisions == nil {
		o.decisions = make(map[fleet.Ref]*ServiceDecision)
	}
	if o.decisions[to] == nil {
		o.decisions[to] = &ServiceDecision{}
	}
	o.decisions[to].Entries = append(o.decisions[to].Entries, e)
}

// flush sends the messages of an outbox. Those for this instance itself are delivered directly.
func (m *Manager) flush(now time.Time, o outbox) {
	for to, body := range o.evidence {
		if to == m.self.Ref {
			m.warn("evidence from this instance's own carrier dropped", m.deliverEvidence(now, to, *body))
			continue
		}
		m.options.Sender.Send(to, wire.KindEvidence, *body)
	}
	for to, body := range o.decisions {
		if to == m.self.Ref {
			m.warn("decision of this instance's own evaluator dropped", m.deliverDecisions(now, to, *body))
			continue
		}
		m.options.Sender.Send(to, wire.KindDecision, *body)
	}
}

func (m *Manager) warn(message string, err error) {
	if err != nil {
		m.options.Log.Warn(message, "error", err.Error())
	}
}

// deliverEvidence passes evidence to the evaluators. An error on one service does not stop
// the others; all are joined.
func (m *Manager) deliverEvidence(now time.Time, from fleet.Ref, body ServiceEvidence) error {
	var replies outbox
	var errs []error
	for i := range body.Entries {
		entry := &body.Entries[i]
		state := m.services[entry.Service]
		if state == nil || state.evaluator == nil {
			errs = append(errs, fmt.Errorf("%w: service %q is not evaluated by this instance", health.ErrEvidenceDropped, entry.Service))
			continue
		}
		sends, err := state.evaluator.Deliver(now, from, &entry.Evidence)
		if err != nil {
			errs = append(errs, err)
		}
		replies.add(entry.Service, sends)
		m.reportTransitions(state)
	}
	m.flush(now, replies)
	return errors.Join(errs...)
}

// deliverDecisions passes decisions to the carriers and publishes the changed targets.
func (m *Manager) deliverDecisions(now time.Time, from fleet.Ref, body ServiceDecision) error {
	var errs []error
	for i := range body.Entries {
		entry := &body.Entries[i]
		state := m.services[entry.Service]
		if state == nil || state.carrier == nil {
			errs = append(errs, fmt.Errorf("%w: service %q is not carried by this instance", health.ErrDecisionDropped, entry.Service))
			continue
		}
		if err := state.carrier.Deliver(now, from, &entry.Decision); err != nil {
			errs = append(errs, err)
			continue
		}
		m.publish(now, state)
	}
	return errors.Join(errs...)
}
