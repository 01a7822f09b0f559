package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/coord/replica"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// readTimeout bounds a call, or a page of a full read: many times the store's typical response time of
	// 4 ms.
	readTimeout = time.Second
	// initialRetryDelay and maxRetryDelay bound the delay after a failed call; it doubles.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 400 * time.Millisecond
	// maxIdleRetryDelay replaces maxRetryDelay for an instance that isn't a preferred follower.
	maxIdleRetryDelay = 1600 * time.Millisecond
	// missedWatchWait is how long a watch for missed changes waits: they are in the store already.
	missedWatchWait = 20 * time.Millisecond
	// firstStartWait delays the first read of the store when the whole fleet starts for the first
	// time: by then all instances have registered, and one read returns them all.
	firstStartWait = 1200 * time.Millisecond
	// leaseTTL is how long after its last renewal an instance's registration expires. Missing
	// heartbeats show sooner that it is gone.
	leaseTTL = 30 * time.Second
	// leaseRenewal is the renewal interval. It leaves time for a second attempt before the lease
	// expires; a shorter one would cost the store more calls.
	leaseRenewal = 12 * time.Second
)

// allKeys is the prefix of all keys: one watch covers everything that an instance follows.
const allKeys = ""

// follower keeps the control loop up to date with the platform's store.
type follower struct {
	store   *platform.Store
	control *control
	log     *slog.Logger
	health  *storeHealth
	wait    time.Duration // Delay before the first read.
	era     uint64        // Of the store, as last logged.
	latency time.Duration // Of the store's last response to a watch without changes.
}

// storeHealth tracks whether the store answers the calls of the follower and the registrar.
type storeHealth struct {
	log     *slog.Logger
	control *control

	mu           sync.Mutex
	failingSince time.Time // Time of the first failed call; zero while the store answers.
}

// record records the outcome of a call.
func (r *storeHealth) record(err error) {
	if err != nil {
		r.control.post(func() { r.control.lastStoreError = time.Now() })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && r.failingSince.IsZero():
		r.failingSince = time.Now()
		r.log.Warn("store unavailable; serving with the last known state", "error", err.Error())
	case err == nil && !r.failingSince.IsZero():
		r.log.Info("store available again", "after_ms", time.Since(r.failingSince).Milliseconds())
		r.failingSince = time.Time{}
	}
}

// run keeps the control loop up to date until ctx ends.
func (f *follower) run(ctx context.Context) {
	delayAfterError := initialRetryDelay
	var at platform.Revision
	sleep(ctx, f.wait)
	synced, answered := false, false // answered: the previous iteration ended without an error.
	for ctx.Err() == nil {
		at = max(at, platform.Revision(f.control.knownRevision.Load()))
		var err error
		fullRead := !synced && (f.control.shouldFollow.Load() || !f.control.upToDate.Load())
		switch {
		case fullRead:
			at, err = f.readAll(ctx)
		case f.control.shouldFollow.Load() && !answered:
			at, err = f.readMissed(ctx, at)
		case f.control.shouldFollow.Load():
			at, err = f.watch(ctx, at)
		default:
			at, err = f.awaitChanges(ctx, at)
		}
		f.logEra(at)
		// A watch that was cut off may have missed changes, even if the store's history has no gap.
		synced, answered = err == nil || errors.Is(err, errFollowChanged), err == nil
		switch {
		case errors.Is(err, errFollowChanged), errors.Is(err, errResync):
			continue
		case errors.Is(err, platform.ErrCompacted):
			f.log.Warn("store has compacted its history after this revision; rereading all keys", "after", at.Number())
			continue
		case errors.Is(err, platform.ErrRestored):
			continue
		case errors.Is(err, platform.ErrTooManyChanges):
			f.log.Warn("too many changes after this revision for one reply of the store; rereading all keys", "after", at.Number())
			continue
		}
		f.control.post(func() { f.control.setFollowing(err == nil) })
		f.health.record(err)
		if err == nil {
			delayAfterError = initialRetryDelay
			if fullRead {
				f.pauseAfterChanges(ctx)
			}
			continue
		}
		if !f.control.preferredFollower.Load() {
			delayAfterError = max(delayAfterError, maxRetryDelay)
		}
		sleep(ctx, delayAfterError)
		delayAfterError = min(2*delayAfterError, f.retryDelayLimit())
	}
}

// logEra logs that the store was restored from a copy.
func (f *follower) logEra(at platform.Revision) {
	era := f.store.Era()
	if era > f.era && f.era > 0 {
		f.log.Warn("store was restored from a copy", "era", era, "era_before", f.era, "revision", at.Number())
	}
	f.era = era
}

// retryDelayLimit returns the longest delay after a failed call. Instances that aren't preferred
// followers retry less often, to spare a store that rejects all calls.
func (f *follower) retryDelayLimit() time.Duration {
	if f.control.preferredFollower.Load() {
		return maxRetryDelay
	}
	return maxIdleRetryDelay
}

// readAll reads all keys and posts them to the control loop.
func (f *follower) readAll(ctx context.Context) (platform.Revision, error) {
	requestedAt, sentAt := time.Now(), f.control.clock()
	items, at, end, err := f.store.Range(ctx, allKeys, readTimeout)
	if err != nil {
		return 0, err
	}
	f.control.recordStoreResponse()
	f.control.post(func() {
		f.control.pause.Refreshed(requestedAt)
		f.control.applyFullRead(time.Now(), items, at, end)
		f.control.confirmRead(time.Now(), sentAt, at, true)
		f.control.confirmFresh(time.Now(), requestedAt, at)
	})
	return at, nil
}

var (
	errResync        = errors.New("a resync of the store was requested")
	errFollowChanged = errors.New("role as a follower of the store changed")
)

// watch waits for changes after a revision and delivers them.
func (f *follower) watch(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	ctx, stop := f.interruptible(ctx)
	at, err := f.watchOnce(ctx, after)
	failed := err != nil && ctx.Err() == nil
	if interrupt := stop(); interrupt != nil && !failed {
		return at, interrupt
	}
	return at, err // After a failure, all keys are read in any case.
}

// interruptible returns a context that ends when a resync is requested or the role as a follower
// changes. stop releases it, and returns errResync or errFollowChanged if that has happened.
func (f *follower) interruptible(parent context.Context) (ctx context.Context, stop func() error) {
	ctx, cancel := context.WithCancelCause(parent)
	released, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-f.control.resync:
			cancel(errResync)
		case <-f.control.followChanged:
			cancel(errFollowChanged)
		case <-released:
		}
	}()
	return ctx, func() error {
		close(released)
		<-done
		defer cancel(nil)
		if cause := context.Cause(ctx); errors.Is(cause, errResync) || errors.Is(cause, errFollowChanged) {
			return cause
		}
		return nil
	}
}

// watchOnce waits for changes after a revision, delivers them, and then waits while further changes
// collect in the store. A watch that outlasts the schedule's limit fails: its response was lost.
func (f *follower) watchOnce(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	schedule, start, sentAt := f.control.schedule(), time.Now(), f.control.clock()
	wait := f.watchWait(schedule, start)
	watchCtx, cancel := context.WithTimeout(ctx, wait+schedule.Answer)
	defer cancel()
	items, at, err := f.store.Watch(watchCtx, allKeys, after, wait)
	if err != nil {
		f.recordUnanswered(ctx, err, after, time.Since(start))
		return after, err
	}
	f.control.recordStoreResponse()
	respondedAt := time.Now()
	if len(items) > 0 {
		f.deliver(items, after, at, sourceWatch, sentAt, respondedAt)
		f.pauseAfterChanges(ctx)
		return max(after, at), nil
	}
	f.latency = max(respondedAt.Sub(start)-wait, 0)
	if at > after {
		return after, nil // The response lacks changes, which the next watch returns.
	}
	f.control.post(func() {
		f.control.noticeGap(after)
		f.control.confirmRead(time.Now(), sentAt, after, false)
		f.control.confirmFresh(time.Now(), respondedAt, after)
	})
	return after, nil
}

// pauseAfterChanges waits while further changes collect in the store. The control loop first applies the changes that were
// posted to it, since the length of the wait depends on them.
func (f *follower) pauseAfterChanges(ctx context.Context) {
	applied := make(chan struct{})
	if !f.control.post(func() { close(applied) }) {
		return
	}
	select {
	case <-applied:
		sleep(ctx, f.control.batchDelay())
	case <-f.control.done:
	}
}

// watchWait returns how long a watch that begins now waits for a change.
func (f *follower) watchWait(schedule following.Schedule, now time.Time) time.Duration {
	sinceResponse := time.Duration(0)
	if at := f.control.respondedAt.Load(); at != nil {
		sinceResponse = now.Sub(*at)
	}
	wait := schedule.Wait(sinceResponse, f.latency)
	if f.control.needsConfirmation() {
		wait = min(wait, f.control.promises().watchWait())
	}
	return wait
}

// recordUnanswered counts and logs a watch that ended with an error and without a response of the store.
func (f *follower) recordUnanswered(ctx context.Context, err error, after platform.Revision, waited time.Duration) {
	answered := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored) || errors.Is(err, platform.ErrTooManyChanges)
	if answered || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	f.control.unansweredWatches.Add(1)
	f.log.Warn("watch of the store ended without a response; rereading all keys", "after", after.Number(), "waited_ms", waited.Milliseconds(), "error", err.Error())
}

// deliver posts changes to the control loop, which forwards them to the zone if this instance is
// to follow the store. The call that returned them was sent at sentAt, and the store had no later change at freshAt.
func (f *follower) deliver(items []platform.Item, after, at platform.Revision, from changeSource, sentAt time.Duration, freshAt time.Time) {
	f.control.post(func() {
		b := newChangeBatch(f.control.peer, items, after, at)
		if f.control.shouldFollow.Load() {
			f.control.forward(b)
		}
		f.control.noticeGap(after)
		if f.control.applyBatch(time.Now(), b, from) == replica.Gap {
			f.control.requestResync(true)
		}
		if len(items) > 0 || at <= after {
			f.control.confirmRead(time.Now(), sentAt, at, false)
			f.control.confirmFresh(time.Now(), freshAt, at)
		}
	})
}

// awaitChanges waits while followers forward the store's changes to this instance. When some are
// missing, it reads them from the store.
func (f *follower) awaitChanges(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	select {
	case <-ctx.Done():
		return after, errFollowChanged
	case <-f.control.followChanged:
		return after, errFollowChanged
	case full := <-f.control.resync:
		if full {
			return after, errResync
		}
	}
	return f.readMissed(ctx, max(after, platform.Revision(f.control.knownRevision.Load())))
}

// readMissed reads the changes after a revision that are in the store already.
func (f *follower) readMissed(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start, sentAt := time.Now(), f.control.clock()
	items, at, err := f.store.Watch(readCtx, allKeys, after, missedWatchWait)
	if err != nil {
		return after, err
	}
	f.control.recordStoreResponse()
	if len(items) == 0 {
		at = after // A later revision without changes covers nothing.
	}
	f.deliver(items, after, at, sourceMissed, sentAt, start)
	return max(after, at), nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// registrar keeps the instance's registration in the platform's store.
type registrar struct {
	store        *platform.Store
	key          string
	record       memberRecord
	log          *slog.Logger
	health       *storeHealth
	deregistered chan struct{} // Signaled when the registration was removed, or may have been.
	era          func() uint64 // Of the store, as this instance or others know it.
	instances    func() int    // That register again with this one after the store was restored.
}

// registrationsPerSecond is the rate at which all instances together register again after the store was restored. Each
// makes two writing calls.
const registrationsPerSecond = 100

// run registers the instance and renews its lease until ctx ends. Then it ends the lease. A lease is that of one era of
// the store: a restored store has forgotten it, or has given it to another instance.
func (r *registrar) run(ctx context.Context) {
	var lease platform.Lease
	var era uint64 // In which the lease was granted.
	for ctx.Err() == nil {
		var err error
		if lease != 0 && r.era() != era {
			lease = 0
			sleep(ctx, rand.N(time.Duration(r.instances()+1)*time.Second/registrationsPerSecond))
		}
		if lease == 0 {
			lease, err = r.register(ctx)
			era = r.store.Era()
		} else {
			err = r.renew(ctx, lease)
		}
		wait := leaseRenewal
		switch {
		case ctx.Err() != nil:
			continue
		case errors.Is(err, platform.ErrLeaseEnded):
			r.log.Warn("registration lease expired; registering again", "lease", uint64(lease))
			lease, wait = 0, 0
		case err != nil:
			wait = maxRetryDelay
			r.health.record(err)
		default:
			r.health.record(nil)
		}
		if lease != 0 && r.era() != era {
			wait = 0
		}
		r.wait(ctx, wait, &lease, era)
	}
	if lease == 0 {
		return
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	var err error
	if r.era() == era {
		err = r.store.EndLease(end, lease)
	} else {
		_, err = r.store.Commit(end, platform.Txn{Deletes: []string{r.key}}) // The copy may have the registration.
	}
	if err != nil {
		r.log.Warn("cannot end the registration lease; the registration expires with it", "error", err.Error())
	}
}

// wait waits for d, or until the registration is removed: it then resets the lease, so that run
// registers again at once. After a restoration of the store run does so by itself.
func (r *registrar) wait(ctx context.Context, d time.Duration, lease *platform.Lease, era uint64) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.deregistered:
		if r.era() == era {
			*lease = 0
		}
	}
}

func (r *registrar) register(ctx context.Context) (platform.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := cbor.Marshal(r.record)
	if err != nil {
		return 0, err
	}
	lease, _, err := r.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	era := r.store.Era()
	if _, err := r.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: r.key, Value: value, Lease: lease}}}); err != nil {
		return 0, err
	}
	if r.store.Era() != era {
		return 0, fmt.Errorf("register with lease %d: %w", lease, platform.ErrRestored)
	}
	return lease, nil
}

func (r *registrar) renew(ctx context.Context, lease platform.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.store.RenewLease(ctx, lease)
}
