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
	pauseParts = 4
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// idleRetry is the longest pause of an instance whose turn to follow the store it is not.
	idleRetry = 1600 * time.Millisecond
	// missedWait is how long a look for missed changes waits: they are there already.
	missedWait = 20 * time.Millisecond
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
const everything = ""

// follower keeps the control loop in step with the platform's store.
type follower struct {
	store   *platform.Store
	control *control
	log     *slog.Logger
	reach   *reach
	pause   func() time.Duration // After each change, before the next watch.
	wait    time.Duration        // Before the first read.
}

// reach tells whether the store answers, by the calls of the follower and the registrar.
type reach struct {
	log     *slog.Logger
	control *control

	mu   sync.Mutex
	lost time.Time // Zero while the store answers.
}

// report takes in how a call ended, and tells whether the store is back with it.
func (r *reach) report(err error) (regained bool) {
	if err != nil {
		r.control.post(func() { r.control.trouble = time.Now() })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && r.lost.IsZero():
		r.lost = time.Now()
		r.log.Warn("store lost", "error", err.Error())
	case err == nil && !r.lost.IsZero():
		r.log.Info("store regained", "after_ms", time.Since(r.lost).Milliseconds())
		r.lost = time.Time{}
		return true
	}
	return false
}

// run keeps the control loop in step until ctx ends.
func (f *follower) run(ctx context.Context) {
	retry := firstRetry
	var at platform.Revision
	sleep(ctx, f.wait)
	read, proven := false, false // proven: the store has answered since the duty fell to this instance.
	for ctx.Err() == nil {
		at = max(at, platform.Revision(f.control.known.Load()))
		var err error
		pause := time.Duration(0)
		switch {
		case !read && (f.control.onDuty.Load() || !f.control.inStep.Load()):
			at, err = f.readAll(ctx)
			pause = f.pause()
		case f.control.onDuty.Load() && !proven:
			at, err = f.readMissed(ctx, at)
		case f.control.onDuty.Load():
			at, err = f.watch(ctx, at)
		default:
			at, err = f.listen(ctx, at)
		}
		// A watch that was cut may have missed changes, whatever it says of its history.
		read, proven = err == nil || errors.Is(err, errTurned), err == nil
		switch {
		case errors.Is(err, errTurned), errors.Is(err, errKicked):
			continue
		case errors.Is(err, platform.ErrCompacted):
			f.log.Warn("history of the store lost", "after", uint64(at))
			continue
		}
		f.control.post(func() { f.control.follows(err == nil) })
		if f.reach.report(err); err == nil {
			retry = firstRetry
			sleep(ctx, pause)
			continue
		}
		sleep(ctx, retry)
		retry = min(2*retry, f.longestRetry())
	}
}

// longestRetry returns the longest pause after a failed call.
func (f *follower) longestRetry() time.Duration {
	if f.control.inLine.Load() {
		return lastRetry
	}
	return idleRetry
}

// readAll reads every key and hands it to the control loop.
func (f *follower) readAll(ctx context.Context) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	items, at, err := f.store.Range(ctx, everything)
	if err != nil {
		return 0, err
	}
	f.control.post(func() {
		f.control.pause.Refreshed(asked)
		f.control.replace(time.Now(), items, at)
	})
	return at, nil
}

var (
	errKicked = errors.New("the watch is begun anew")
	errTurned = errors.New("another instance follows the store, or none does")
)

// watch waits for changes after a revision, hands them to the control loop and passes them on.
func (f *follower) watch(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-f.control.kick:
			cancel(errKicked)
		case <-f.control.turn:
			cancel(errTurned)
		case <-ended:
		}
	}()
	items, at, err := f.store.Watch(ctx, everything, after, watchWait)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errKicked) || errors.Is(cause, errTurned) {
			return after, cause
		}
		return after, err
	}
	if len(items) > 0 {
		f.handOver(items, after, at)
		sleep(ctx, f.pause())
	}
	return max(after, at), nil
}

// handOver hands changes to the control loop, which passes them on where that is its duty.
func (f *follower) handOver(items []platform.Item, after, at platform.Revision) {
	f.control.post(func() {
		if f.control.onDuty.Load() {
			f.control.pass(items, after, at)
		}
		f.control.change(time.Now(), items, at)
	})
}

// listen waits while others tell of the store's changes, until it lacks some; those it reads.
func (f *follower) listen(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	select {
	case <-ctx.Done():
		return after, errTurned
	case <-f.control.turn:
		return after, errTurned
	case whole := <-f.control.kick:
		if whole {
			return after, errKicked
		}
	}
	return f.readMissed(ctx, max(after, platform.Revision(f.control.known.Load())))
}

// readMissed reads the changes after a revision that are there already.
func (f *follower) readMissed(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	short, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, at, err := f.store.Watch(short, everything, after, missedWait)
	if err != nil {
		return after, err
	}
	f.handOver(items, after, at)
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
	store  *platform.Store
	key    string
	record memberRecord
	log    *slog.Logger
	reach  *reach
	gone   chan struct{} // Told when the registration went.
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
			wait = lastRetry
			r.reach.report(err)
		case r.reach.report(nil):
			// A watch that was begun while the store was silent may wait in vain.
			r.reach.control.askAnew(true)
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
	case <-r.gone:
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
