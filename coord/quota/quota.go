package quota

import (
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
)

// Limit is what an account may use over all instances. A rate of 0 limits nothing.
type Limit struct {
	Rate  float64 // Requests a second.
	Burst float64 // Requests; below 1 it counts as 1.
}

// Config holds the bound on the requests of an account that run in any window, summed over all instances:
// (rate x window + burst) x (1 + excess) + tolerance.
type Config struct {
	Window    time.Duration
	Excess    float64 // Share of the limit.
	Tolerance float64 // Requests.
}

// Use is what a sender has used of an account's limit. Taken and Returned are cumulative counts since the sender's
// start, and wrap.
type Use struct {
	_        struct{} `cbor:",toarray"`
	Account  accounts.ID
	Taken    uint32
	Returned uint32 // Of those taken, requests that have not run.
	Recent   uint32 // Taken and not returned in the last one to two recentSlices.
}

const (
	// maxGap is two heartbeat intervals of 0.5 s and a margin. A longer time without a message of a peer is not credited.
	maxGap = 1100 * time.Millisecond
	// recentSlice is longer than maxGap: a sender's recent use covers what it took since its last message.
	recentSlice = 1200 * time.Millisecond
	// creditLag is how long a peer's contribution is credited late at most while no message is lost.
	creditLag = 500 * time.Millisecond
	// repeatInterval and repeatTime say how often and for how long a count is repeated after its last change.
	repeatInterval = 500 * time.Millisecond
	repeatTime     = 1500 * time.Millisecond
	// urgentReserve is the part of a second's rate that less urgent requests leave to more urgent ones at the limit.
	urgentReserve = 0.25
	// limitedTime is how long an account counts as being at its limit after a rejection.
	limitedTime = time.Second
	// countRetention is how long a peer's count is kept at least after its last report.
	countRetention = 4 * time.Second
	// peerRetention is how long a silent peer is kept.
	peerRetention = time.Minute
	// minRetryAfter is the least time after which a rejected request is worth a retry.
	minRetryAfter = 100 * time.Millisecond
	// maxUrgencies bounds the urgencies of an account that are told apart.
	maxUrgencies = 8
	// slackParts is the number of parts into which a bound's slack is divided: one is for requests that are placed before
	// reports arrive, one for contributions that are credited late.
	slackParts = 4
)

// Limiter is one instance's copy of the buckets of all accounts. It is not safe for concurrent use.
type Limiter struct {
	cfg     Config
	random  *rand.Rand
	started time.Time
	full    bool // Buckets without a state were full at a credit of 0; else they were empty.
	limits  map[accounts.ID]Limit
	buckets map[accounts.ID]*bucket

	hasLimits bool      // SetLimits was called.
	adoptedAt time.Time // When levels were first adopted; zero if they were not.

	instances  int // Including this one; 0 until it is known.
	creditFrom time.Time
	separate   bool
	peers      map[uint64]peer
	credit     float64   // Seconds of the rates that were credited.
	ownAt      time.Time // Until when this instance's own contribution is credited.
	share      float64   // Part of the instances that contributed lately.

	counts, olderCounts map[countKey]count // Reported by peers, in two generations.
	countsSince         time.Time

	changed []accounts.ID // To be reported, oldest change first.
	repeats []repeat      // By due time.
}

type peer struct {
	heardAt  time.Time
	gapEnded time.Time // When a message last ended a gap.
}

type countKey struct {
	from    uint64
	account accounts.ID
}

type count struct{ taken, returned uint32 }

type repeat struct {
	account accounts.ID
	due     time.Time
}

// bucket is the state of one account.
type bucket struct {
	tokens float64 // At a credit; negative after too many requests.
	credit float64

	taken, returned  uint32 // Of this instance.
	changedAt        time.Time
	queued, repeated bool // Whether it is in Limiter.changed and Limiter.repeats.
	adopted          bool

	sliceAt   time.Time // Start of the present slice.
	now, last recent
	limitedAt time.Time // When a request was last rejected.
	urgencies []urgencySeen
}

// recent counts requests in a recentSlice. Returns are deducted in the slice in which they come.
type recent struct {
	taken  int
	others float64
}

type urgencySeen struct {
	urgency int
	at      time.Time
}

// New returns a Limiter without limits. With full, nobody has used anything yet, as at the first start of a fleet;
// otherwise buckets begin empty.
func New(cfg Config, now time.Time, full bool, random rand.Source) *Limiter {
	return &Limiter{
		cfg: cfg, random: rand.New(random), started: now, full: full, ownAt: now, countsSince: now,
		buckets: make(map[accounts.ID]*bucket), peers: make(map[uint64]peer),
		counts: make(map[countKey]count), olderCounts: make(map[countKey]count),
	}
}

// SetLimits replaces the limits of all accounts. The Limiter keeps the map, which must not change. A limit that is added
// later than a window after the start has a full bucket.
func (l *Limiter) SetLimits(now time.Time, limits map[accounts.ID]Limit) {
	l.advance(now)
	old := l.limits
	for a, b := range l.buckets {
		if old[a].Rate > 0 {
			l.settle(b, old[a])
		}
		if limits[a].Rate <= 0 && now.Sub(b.changedAt) > 2*countRetention {
			delete(l.buckets, a)
		}
	}
	added := l.hasLimits && now.Sub(l.started) >= l.cfg.Window
	for a, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		b := l.buckets[a]
		if added && old[a].Rate <= 0 {
			if b == nil {
				b = &bucket{}
				l.buckets[a] = b
			}
			b.tokens, b.credit = l.capacity(limit), l.credit
		}
		if b != nil {
			b.credit = l.credit
			l.add(b, limit, 0)
		}
	}
	l.limits, l.hasLimits = limits, true
}

// SetPeers sets how many other instances there are, silent ones included. Nothing is credited before the first call and
// for maxGap after it, in which instances that start at the same time learn of each other.
func (l *Limiter) SetPeers(now time.Time, peers int) {
	l.advance(now)
	if l.instances == 0 {
		l.creditFrom = now.Add(maxGap)
	}
	l.instances = max(peers, 0) + 1
	heard := 1
	for id, p := range l.peers {
		switch silent := now.Sub(p.heardAt); {
		case silent > peerRetention:
			delete(l.peers, id)
		case silent <= maxGap:
			heard++
		}
	}
	l.share = min(float64(heard)/float64(l.instances), 1)
}

// SetSeparate sets whether each instance uses an equal part of every limit by itself, as in a fleet whose instances do
// not report to each other.
func (l *Limiter) SetSeparate(now time.Time, on bool) {
	l.advance(now)
	l.separate = on
}

// Heard records that a message of a peer arrived. It is to be called before HandleReport of the same message.
func (l *Limiter) Heard(now time.Time, from uint64) {
	l.advance(now)
	p, ok := l.peers[from]
	switch since := now.Sub(p.heardAt); {
	case !ok:
	case since > maxGap:
		p.gapEnded = now
	default:
		l.contribute(p.heardAt, now)
	}
	p.heardAt = now
	l.peers[from] = p
}

// contribute credits an instance's contribution in a time.
func (l *Limiter) contribute(from, to time.Time) {
	if l.instances == 0 {
		return
	}
	if from.Before(l.creditFrom) {
		from = l.creditFrom
	}
	l.credit += max(to.Sub(from), 0).Seconds() / float64(l.instances)
}

// advance credits this instance's own contribution.
func (l *Limiter) advance(now time.Time) {
	if now.After(l.ownAt) {
		l.contribute(l.ownAt, now)
		l.ownAt = now
	}
}

// slack returns how far the bound exceeds the limit in a window, in requests.
func (l *Limiter) slack(limit Limit) float64 {
	return l.cfg.Excess*(limit.Rate*l.cfg.Window.Seconds()+limit.Burst) + l.cfg.Tolerance
}

// capacity returns the tokens of a full bucket. Two sides of a partition that both spend one stay within the bound.
func (l *Limiter) capacity(limit Limit) float64 {
	burst, slack := max(limit.Burst, 1), l.slack(limit)
	// A bucket of one request would lose what is credited until the next request comes.
	stored := burst + min(max(limit.Rate*creditLag.Seconds(), 1), slack/slackParts)
	c := max(min(stored, (burst+slack-slack/slackParts)/2), 1)
	if l.separate {
		c /= float64(max(l.instances, 1))
	}
	return c
}

// settle credits a bucket with what was contributed since the last call.
func (l *Limiter) settle(b *bucket, limit Limit) {
	gained := max(l.credit-b.credit, 0) * limit.Rate
	b.credit = l.credit
	l.add(b, limit, gained)
}

// add adds tokens to a bucket, or deducts them. The lowest level keeps requests from running for a window.
func (l *Limiter) add(b *bucket, limit Limit, tokens float64) {
	lowest := -max(limit.Rate*l.cfg.Window.Seconds(), 1)
	b.tokens = max(min(b.tokens+tokens, l.capacity(limit)), lowest)
}

// bucket returns an account's bucket, settled.
func (l *Limiter) bucket(a accounts.ID, limit Limit) *bucket {
	b := l.buckets[a]
	if b == nil {
		b = &bucket{}
		if l.full {
			b.tokens = l.capacity(limit)
		}
		l.buckets[a] = b
	}
	l.settle(b, limit)
	return b
}

// rotate begins a new slice of recent counts if the present one has ended.
func (b *bucket) rotate(now time.Time) {
	switch since := now.Sub(b.sliceAt); {
	case since >= 2*recentSlice:
		b.last, b.now, b.sliceAt = recent{}, recent{}, now
	case since >= recentSlice:
		b.last, b.now, b.sliceAt = b.now, recent{}, b.sliceAt.Add(recentSlice)
	}
}

// recent returns the counts of the last one to two slices.
func (b *bucket) recent() recent {
	return recent{b.now.taken + b.last.taken, b.now.others + b.last.others}
}

// Take takes a request of an account from its limit. If it may not run now, ok is false and retryAfter says when the
// limit has room. An urgency of 0 is the most urgent.
func (l *Limiter) Take(now time.Time, a accounts.ID, urgency int) (ok bool, retryAfter time.Duration) {
	limit := l.limits[a]
	if limit.Rate <= 0 {
		return true, 0
	}
	l.advance(now)
	b := l.bucket(a, limit)
	b.rotate(now)
	if missing, chance := l.room(now, b, limit, urgency); missing > 0 || chance < 1 && l.random.Float64() >= chance {
		b.limitedAt = now
		return false, l.retryAfter(missing, chance, limit)
	}
	l.add(b, limit, -1)
	b.taken++
	b.now.taken++
	l.noteChange(now, a, b)
	return true, 0
}

// room returns how many tokens are missing for a request, and the chance with which it may run if none is. Separate
// instances have less than a token of most limits each.
func (l *Limiter) room(now time.Time, b *bucket, limit Limit, urgency int) (missing, chance float64) {
	if l.separate {
		return 0, b.tokens
	}
	threshold := 1.0
	if b.sawMoreUrgent(now, urgency) && now.Sub(b.limitedAt) < limitedTime {
		threshold = min(threshold+urgentReserve*limit.Rate, l.capacity(limit))
	}
	if b.tokens < threshold {
		return threshold - b.tokens, 1
	}
	return 0, 1
}

// retryAfter returns when the missing tokens will have been credited, or the chance of a request will have risen to 1.
func (l *Limiter) retryAfter(missing, chance float64, limit Limit) time.Duration {
	share := l.share
	if l.separate {
		share, missing = 1/float64(max(l.instances, 1)), max(1-chance, 0)
	}
	seconds := missing / max(limit.Rate*share, 1e-3)
	return max(time.Duration(min(seconds, 3600)*float64(time.Second)), minRetryAfter)
}

// sawMoreUrgent records a request's urgency and reports whether more urgent requests came lately.
func (b *bucket) sawMoreUrgent(now time.Time, urgency int) bool {
	seen, more, oldest := false, false, 0
	for i := range b.urgencies {
		u := &b.urgencies[i]
		if u.urgency == urgency {
			u.at, seen = now, true
		}
		more = more || u.urgency < urgency && now.Sub(u.at) < limitedTime
		if u.at.Before(b.urgencies[oldest].at) {
			oldest = i
		}
	}
	switch {
	case seen:
	case len(b.urgencies) < maxUrgencies:
		b.urgencies = append(b.urgencies, urgencySeen{urgency, now})
	default:
		b.urgencies[oldest] = urgencySeen{urgency, now}
	}
	return more
}

// Return gives back a request that Take accepted and that has not run.
func (l *Limiter) Return(now time.Time, a accounts.ID) {
	b, limit := l.buckets[a], l.limits[a]
	if b == nil || limit.Rate <= 0 || b.returned == b.taken {
		return
	}
	l.advance(now)
	l.settle(b, limit)
	l.add(b, limit, 1)
	b.returned++
	b.rotate(now)
	b.now.taken--
	l.noteChange(now, a, b)
}

func (l *Limiter) noteChange(now time.Time, a accounts.ID, b *bucket) {
	b.changedAt = now
	if !b.queued {
		b.queued = true
		l.changed = append(l.changed, a)
	}
}

// HasChanges reports whether there is a change that was not reported yet.
func (l *Limiter) HasChanges() bool { return len(l.changed) > 0 }

// Report returns what changed since the last report, and then counts that are repeated, at most max in all.
func (l *Limiter) Report(now time.Time, max int) []Use {
	var uses []Use
	for len(l.changed) > 0 && len(uses) < max {
		a := l.changed[0]
		l.changed = l.changed[1:]
		if b := l.buckets[a]; b != nil {
			b.queued = false
			uses = append(uses, l.use(now, a, b))
		}
	}
	for len(l.repeats) > 0 && len(uses) < max && !l.repeats[0].due.After(now) {
		a := l.repeats[0].account
		l.repeats = l.repeats[1:]
		b := l.buckets[a]
		if b == nil {
			continue
		}
		b.repeated = false
		if now.Sub(b.changedAt) < repeatTime && !b.queued {
			uses = append(uses, l.use(now, a, b))
		}
	}
	return uses
}

func (l *Limiter) use(now time.Time, a accounts.ID, b *bucket) Use {
	if !b.repeated {
		b.repeated = true
		l.repeats = append(l.repeats, repeat{a, now.Add(repeatInterval)})
	}
	b.rotate(now)
	return Use{Account: a, Taken: b.taken, Returned: b.returned, Recent: uint32(max(b.recent().taken, 0))}
}

// HandleReport deducts what a peer has used. What it took in a gap is not deducted, as its contribution in the gap is
// not credited.
func (l *Limiter) HandleReport(now time.Time, from uint64, uses []Use) {
	l.advance(now)
	if now.Sub(l.countsSince) > countRetention {
		l.counts, l.olderCounts, l.countsSince = make(map[countKey]count), l.counts, now
	}
	inGap := l.peers[from].gapEnded.Equal(now)
	for _, u := range uses {
		key := countKey{from, u.Account}
		known, ok := l.counts[key]
		if !ok {
			known, ok = l.olderCounts[key]
		}
		taken, returned := int32(u.Taken-known.taken), int32(u.Returned-known.returned)
		recently := int(min(u.Recent, 1<<30))
		used := float64(min(int(taken)-int(returned), recently))
		switch {
		case !ok:
			used = float64(recently) * l.partSinceAdoption(now)
		case taken < 0 || returned < 0:
			continue // Late.
		}
		l.counts[key] = count{u.Taken, u.Returned}
		limit := l.limits[u.Account]
		if inGap || limit.Rate <= 0 || used == 0 {
			continue
		}
		b := l.bucket(u.Account, limit)
		b.rotate(now)
		b.now.others += used
		l.add(b, limit, -used)
	}
}

// partSinceAdoption returns the part of a peer's recent use that adopted levels don't include: use is taken as even.
func (l *Limiter) partSinceAdoption(now time.Time) float64 {
	if l.adoptedAt.IsZero() {
		return 1
	}
	return min(max(now.Sub(l.adoptedAt), 0).Seconds()/(recentSlice+recentSlice/2).Seconds(), 1)
}

// Limit returns the limit of an account; its rate is 0 if it has none.
func (l *Limiter) Limit(a accounts.ID) Limit { return l.limits[a] }

// Load returns the recent use of an account by all instances, as a share of its limit; 0 without a limit.
func (l *Limiter) Load(now time.Time, a accounts.ID) float64 {
	b, limit := l.buckets[a], l.limits[a]
	if b == nil || limit.Rate <= 0 {
		return 0
	}
	b.rotate(now)
	r := b.recent()
	period := now.Sub(b.sliceAt) + recentSlice
	return max(float64(r.taken)+r.others, 0) / period.Seconds() / limit.Rate
}
