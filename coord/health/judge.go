package health

import (
	"fmt"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Judge decides for one service which endpoints are out of service.
type Judge struct {
	self       fleet.Instance
	cfg        Config
	params     Parameters
	assignment Assignment
	operating  Operating
	quietUntil time.Time // Loans of a set of carriers that this judge does not know may run until then.

	carriers map[fleet.Ref]int // Index among assignment.Carriers.
	loans    map[fleet.Ref]*loan
	zones    []fleet.Zone // Of the carriers.
	zoneOf   []int        // Index into zones, by carrier.

	endpoints []*tracked
	byKey     map[EndpointKey]*tracked
	centres   []centre // By scope: all carriers, then each zone.
	centredAt time.Time

	ledger    ledger
	number    uint64
	decisions []Decision

	// Dropped counts the evidence that Deliver refused.
	Dropped uint64
}

// NewJudge returns the judge of one service at an instance.
func NewJudge(self fleet.Instance, cfg Config) *Judge {
	return &Judge{
		self:   self,
		cfg:    cfg,
		loans:  make(map[fleet.Ref]*loan),
		ledger: newLedger(),
	}
}

// Configure sets the service's parameters, its carriers, and its endpoints as the platform lists them.
func (j *Judge) Configure(now time.Time, p Parameters, a Assignment, upstreams []fleet.Upstream) {
	if j.number == 0 {
		j.number = uint64(now.UnixNano()) // Apart from the numbers of an earlier judge of this instance.
	}
	changed := !sameCarriers(j.assignment.Carriers, a.Carriers)
	if changed && !knownFormer(a, j.assignment.Carriers) {
		j.quietUntil = now.Add(j.cfg.Loan + j.cfg.DriftMargin)
	}
	j.params = p
	j.assignment = a
	j.operating = Threshold(p, len(upstreams))
	if changed {
		j.setCarriers()
	}
	j.keepLoans()
	j.setEndpoints(upstreams, changed)
	j.recentre(now)
}

// sameCarriers reports whether two lists hold the same lives of instances in the same order.
func sameCarriers(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool { return x.Ref == y.Ref && x.Zone == y.Zone })
}

// knownFormer reports whether an assignment lists a set of carriers among its former ones.
func knownFormer(a Assignment, carriers []fleet.Instance) bool {
	if carriers == nil {
		return false
	}
	return slices.ContainsFunc(a.Former, func(f []fleet.Instance) bool { return sameCarriers(f, carriers) })
}

func (j *Judge) setCarriers() {
	j.carriers = make(map[fleet.Ref]int, len(j.assignment.Carriers))
	j.zones = nil
	j.zoneOf = make([]int, len(j.assignment.Carriers))
	for i, c := range j.assignment.Carriers {
		j.carriers[c.Ref] = i
		zone := slices.Index(j.zones, c.Zone)
		if zone < 0 {
			zone = len(j.zones)
			j.zones = append(j.zones, c.Zone)
		}
		j.zoneOf[i] = zone
	}
}

// keepLoans forgets the loans of instances that are in no set of carriers any more.
func (j *Judge) keepLoans() {
	wanted := make(map[fleet.Ref]*loan)
	for _, set := range append([][]fleet.Instance{j.assignment.Carriers}, j.assignment.Former...) {
		for _, c := range set {
			if l := j.loans[c.Ref]; l != nil {
				wanted[c.Ref] = l
			} else if wanted[c.Ref] == nil {
				wanted[c.Ref] = &loan{}
			}
		}
	}
	j.loans = wanted
}

// Deliver takes evidence and returns the verdict that answers it. It returns ErrEvidenceDropped.
func (j *Judge) Deliver(now time.Time, from fleet.Ref, e *Evidence) ([]Send, error) {
	l := j.loans[from]
	if l == nil {
		return nil, j.drop(from, "the sender is not a carrier")
	}
	if e.Revision != j.params.Revision {
		return nil, j.drop(from, fmt.Sprintf("its parameters have revision %d, want %d", e.Revision, j.params.Revision))
	}
	if e.Sequence <= l.sequence {
		return nil, j.drop(from, fmt.Sprintf("sequence %d is not above %d", e.Sequence, l.sequence))
	}
	if err := e.validate(); err != nil {
		return nil, j.drop(from, err.Error())
	}
	l.sequence = e.Sequence
	if e.Lent {
		l.echoed(e.Echo, j.cfg.heardFor())
	}
	if carrier, ok := j.carriers[from]; ok {
		j.observe(now, carrier, e)
	}
	return []Send{{To: from, Verdict: j.answer(now, from, e.Sequence)}}, nil
}

func (j *Judge) drop(from fleet.Ref, reason string) error {
	j.Dropped++
	return fmt.Errorf("%w: from %s for service %q: %s", ErrEvidenceDropped, from, j.params.Service, reason)
}

func (j *Judge) observe(now time.Time, carrier int, e *Evidence) {
	var seen []*tracked
	for _, r := range e.Reports {
		if t := j.byKey[r.Endpoint]; t != nil && j.observeRequests(now, t, carrier, r) {
			seen = append(seen, t)
		}
	}
	for _, t := range seen { // Only now, so that the peers' part of the message is known.
		j.decide(now, t, j.zoneOf[carrier])
	}
	for _, r := range e.Trials {
		if t := j.byKey[r.Endpoint]; t != nil {
			j.observeTrial(now, t, carrier, r)
		}
	}
}

// Tick moves probation on. Verdicts are only ever answers, so it returns nothing to send.
func (j *Judge) Tick(now time.Time) []Send {
	if now.Sub(j.centredAt) >= j.cfg.Interval {
		j.recentre(now)
	}
	for _, t := range j.endpoints {
		j.tickProbation(now, t)
	}
	return nil
}

// recentre computes anew what a healthy request looks like.
func (j *Judge) recentre(now time.Time) {
	j.centredAt = now
	j.centres = make([]centre, 1+len(j.zones))
	for i := range j.centres {
		fallback := defaultCentre()
		if i > 0 {
			fallback = j.centres[0]
		}
		all := make([]*rates, 0, len(j.endpoints))
		for _, t := range j.endpoints {
			all = append(all, &t.scopes[i].rates)
		}
		j.centres[i] = centreOf(all, fallback)
	}
}

// Budget returns the slots that this judge may hold in ejections now, and the carriers it has heard from.
func (j *Judge) Budget(now time.Time) (slots, heard int) {
	heard = j.heard(now, j.assignment.Carriers)
	if now.Before(j.quietUntil) {
		return 0, heard
	}
	budget := j.readySlots() - j.params.FloorSlots
	slots = share(budget, len(j.assignment.Carriers), heard)
	for _, former := range j.assignment.Former {
		slots = min(slots, share(budget, len(former), j.heard(now, former)))
	}
	return slots, heard
}

func (j *Judge) heard(now time.Time, carriers []fleet.Instance) int {
	count := 0
	for _, c := range carriers {
		if l := j.loans[c.Ref]; l != nil && now.Before(l.heardUntil) {
			count++
		}
	}
	return count
}

func (j *Judge) readySlots() int {
	total := 0
	for _, t := range j.endpoints {
		total += t.readySlots()
	}
	return total
}
