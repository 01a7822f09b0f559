package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/platform"
)

const (
	// readTimeout is many times the store's usual answer of 4 ms, and short of the 2 s in which changes must be in force.
	readTimeout = time.Second
	// watchWait is how long a watch waits for a change; a dead connection shows by keep-alives.
	watchWait = 25 * time.Second
	// pauseParts divides the time in which a change must be in force: a part of it gathers changes into one call.
	batchDelayDivisor = 4
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 400 * time.Millisecond
	// idleRetry is the longest pause of an instance whose turn to follow the store it is not.
	maxIdleRetryDelay = 1600 * time.Millisecond
	// missedWait is how long a look for missed changes waits: they are there already.
	missedWatchWait = 20 * time.Millisecond
	// firstStartWait is how long an instance waits to read the store when the whole fleet starts
	// for the first time: all have registered by then, and one read tells of all.
	firstStartWait = 1200 * time.Millisecond
	// leaseTTL is how long after its last renewal an instance is taken off the list. That it is
	// silent shows sooner.
	leaseTTL = 30 * time.Second
	// leaseRenewal leaves another try before a lease ends. Each renewal is a call.
	leaseRenewal = 12 * time.Second
)

// everything is the prefix of all keys: one watch carries all that an instance follows.
const allKeys = ""

// follower keeps the control loop in step with the platform's store.
type follower struct {
	store      *platform.Store
	control    *control
	log        *slog.Logger
	health     *storeHealth
	batchDelay func() time.Duration // After each change, before the next watch.
	wait       time.Duration        // Before the first read.
}

// reach tells whether the store answers, by the calls of the follower and the registrar.
type storeHealth struct {
	log     *slog.Logger
	control *control

	mu           sync.Mutex
	failingSince time.Time // Zero while the store answers.
}

// report takes in how a call ended, and tells whether the store is back with it.
func (r *storeHealth) record(err error) (recovered bool) {
	if err != nil {
		r.control.post(func() { r.control.lastStoreError = time.Now() })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && r.failingSince.IsZero():
		r.failingSince = time.Now()
		r.log.Warn("store lost", "error", err.Error())
	case err == nil && !r.failingSince.IsZero():
		r.log.Info("store regained", "after_ms", time.Since(r.failingSince).Milliseconds())
		r.failingSince = time.Time{}
		return true
	}
	return false
}

// run keeps the control loop in step until ctx ends.
func (f *follower) run(ctx context.Context) {
	delayAfterError := initialRetryDelay
	var at platform.Revision
	sleep(ctx, f.wait)
	synced, answered := false, false // proven: the store has answered since the duty fell to this instance.
	for ctx.Err() == nil {
		at = max(at, platform.Revision(f.control.knownRevision.Load()))
		var err error
		delay := time.Duration(0)
		switch {
		case !synced && (f.control.shouldFollow.Load() || !f.control.upToDate.Load()):
			at, err = f.readAll(ctx)
			delay = f.batchDelay()
		case f.control.shouldFollow.Load() && !answered:
			at, err = f.readMissed(ctx, at)
		case f.control.shouldFollow.Load():
			at, err = f.watch(ctx, at)
		default:
			at, err = f.awaitChanges(ctx, at)
		}
		// A watch that was cut may have missed changes, whatever it says of its history.
		synced, answered = err == nil || errors.Is(err, errFollowChanged), err == nil
		switch {
		case errors.Is(err, errFollowChanged), errors.Is(err, errResync):
			continue
		case errors.Is(err, platform.ErrCompacted):
			f.log.Warn("history of the store lost", "after", uint64(at))
			continue
		}
		f.control.post(func() { f.control.setFollowing(err == nil) })
		if f.health.record(err); err == nil {
			delayAfterError = initialRetryDelay
			sleep(ctx, delay)
			continue
		}
		sleep(ctx, delayAfterError)
		delayAfterError = min(2*delayAfterError, f.retryDelayLimit())
	}
}

// longestRetry returns the longest pause after a failed call.
func (f *follower) retryDelayLimit() time.Duration {
	if f.control.preferredFollower.Load() {
		return maxRetryDelay
	}
	return maxIdleRetryDelay
}

// readAll reads every key and hands it to the control loop.
func (f *follower) readAll(ctx context.Context) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := time.Now()
	items, at, err := f.store.Range(ctx, allKeys)
	if err != nil {
		return 0, err
	}
	f.control.post(func() {
		f.control.pause.Refreshed(requestedAt)
		f.control.applyFullRead(time.Now(), items, at)
	})
	return at, nil
}

var (
	errResync        = errors.New("the watch is begun anew")
	errFollowChanged = errors.New("another instance follows the store, or none does")
)

// watch waits for changes after a revision, hands them to the control loop and passes them on.
func (f *follower) watch(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-f.control.resync:
			cancel(errResync)
		case <-f.control.followChanged:
			cancel(errFollowChanged)
		case <-ended:
		}
	}()
	items, at, err := f.store.Watch(ctx, allKeys, after, watchWait)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errResync) || errors.Is(cause, errFollowChanged) {
			return after, cause
		}
		return after, err
	}
	if len(items) > 0 {
		f.deliver(items, after, at)
		sleep(ctx, f.batchDelay())
	}
	return max(after, at), nil
}

// handOver hands changes to the control loop, which passes them on where that is its duty.
func (f *follower) deliver(items []platform.Item, after, at platform.Revision) {
	f.control.post(func() {
		if f.control.shouldFollow.Load() {
			f.control.forwardChanges(items, after, at)
		}
		f.control.applyChanges(time.Now(), items, at)
	})
}

// listen waits while others tell of the store's changes, until it lacks some; those it reads.
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

// readMissed reads the changes after a revision that are there already.
func (f *follower) readMissed(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, at, err := f.store.Watch(readCtx, allKeys, after, missedWatchWait)
	if err != nil {
		return after, err
	}
	f.deliver(items, after, at)
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
	deregistered chan struct{} // Told when the registration went.
}

// run registers the instance and renews its lease until ctx ends, and then ends it.
func (r *registrar) run(ctx context.Context) {
	var lease platform.Lease
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = r.register(ctx)
		} else {
			err = r.renew(ctx, lease)
		}
		wait := leaseRenewal
		switch {
		case ctx.Err() != nil:
			continue
		case errors.Is(err, platform.ErrLeaseEnded):
			r.log.Warn("lease of the registration ended", "lease", uint64(lease))
			lease, wait = 0, 0
		case err != nil:
			wait = maxRetryDelay
			r.health.record(err)
		case r.health.record(nil):
			// A watch that was begun while the store was silent may wait in vain.
			r.health.control.requestResync(true)
		}
		r.wait(ctx, wait, &lease)
	}
	if lease == 0 {
		return
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	if err := r.store.EndLease(end, lease); err != nil {
		r.log.Warn("registration not withdrawn; it ends with its lease", "error", err.Error())
	}
}

// wait waits for d; a registration that went is made anew at once.
func (r *registrar) wait(ctx context.Context, d time.Duration, lease *platform.Lease) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.deregistered:
		*lease = 0
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
	if _, err := r.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: r.key, Value: value, Lease: lease}}}); err != nil {
		return 0, err
	}
	return lease, nil
}

func (r *registrar) renew(ctx context.Context, lease platform.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.store.RenewLease(ctx, lease)
}
