package endpoints

import (
	"errors"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// outbox gathers messages by destination, so that one envelope carries those of several services.
type outbox struct {
	evidence map[fleet.Ref]*ServiceEvidence
	verdicts map[fleet.Ref]*ServiceDecision
}

func (o *outbox) add(service fleet.Service, sends []health.Send) {
	for _, s := range sends {
		if s.Evidence != nil {
			o.addEvidence(s.To, EvidenceEntry{Service: service, Evidence: *s.Evidence})
		}
		if s.Decision != nil {
			o.addVerdict(s.To, DecisionEntry{Service: service, Decision: *s.Decision})
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

func (o *outbox) addVerdict(to fleet.Ref, v DecisionEntry) {
	if o.verdicts == nil {
		o.verdicts = make(map[fleet.Ref]*ServiceDecision)
	}
	if o.verdicts[to] == nil {
		o.verdicts[to] = &ServiceDecision{}
	}
	o.verdicts[to].Entries = append(o.verdicts[to].Entries, v)
}

// flush sends an outbox. What goes to this instance itself is delivered at once.
func (d *Manager) flush(now time.Time, o outbox) {
	for to, body := range o.evidence {
		if to == d.self.Ref {
			d.warn("evidence of this instance dropped", d.deliverEvidence(now, to, *body))
			continue
		}
		d.options.Sender.Send(to, wire.KindEvidence, *body)
	}
	for to, body := range o.verdicts {
		if to == d.self.Ref {
			d.warn("verdict of this instance dropped", d.deliverVerdicts(now, to, *body))
			continue
		}
		d.options.Sender.Send(to, wire.KindDecision, *body)
	}
}

func (d *Manager) warn(message string, err error) {
	if err != nil {
		d.options.Log.Warn(message, "error", err.Error())
	}
}

// deliverEvidence hands evidence to the judges. Faults are joined; the other services' evidence still counts.
func (d *Manager) deliverEvidence(now time.Time, from fleet.Ref, body ServiceEvidence) error {
	var answers outbox
	var faults []error
	for i := range body.Entries {
		entry := &body.Entries[i]
		state := d.services[entry.Service]
		if state == nil || state.judge == nil {
			faults = append(faults, fmt.Errorf("%w: service %q is not judged here", health.ErrEvidenceDropped, entry.Service))
			continue
		}
		sends, err := state.judge.Deliver(now, from, &entry.Evidence)
		if err != nil {
			faults = append(faults, err)
		}
		answers.add(entry.Service, sends)
		d.report(state)
	}
	d.flush(now, answers)
	return errors.Join(faults...)
}

// deliverVerdicts hands verdicts to the carriers and publishes what they change.
func (d *Manager) deliverVerdicts(now time.Time, from fleet.Ref, body ServiceDecision) error {
	var faults []error
	for i := range body.Entries {
		entry := &body.Entries[i]
		state := d.services[entry.Service]
		if state == nil || state.carrier == nil {
			faults = append(faults, fmt.Errorf("%w: service %q is not carried here", health.ErrDecisionDropped, entry.Service))
			continue
		}
		if err := state.carrier.Deliver(now, from, &entry.Decision); err != nil {
			faults = append(faults, err)
			continue
		}
		d.publish(now, state)
	}
	return errors.Join(faults...)
}
