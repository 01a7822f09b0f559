package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

const (
	saveEvery = time.Second
	// windowRestored names the windows in which the store is put back to a copy.
	windowRestored = "store-restored"
	// maxSaved bounds the copies, and so the age of the one that is restored.
	maxSaved = 12
	// rewriteWithin is how long the operator takes at most to write again what the store has lost.
	rewriteWithin = 1500 * time.Millisecond
)

// savedStore is a copy of the store and when it was made.
type savedStore struct {
	copy *standin.Copy
	at   time.Time
}

func (r *run) saveStore() {
	s := savedStore{r.fleet.store.Save(), time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = append(r.saved, s)
	r.saved = r.saved[max(len(r.saved)-maxSaved, 0):]
}

// storeRestored takes the store away for a moment and puts it back to a copy. What the operator and the upstreams had
// written since is written again.
func storeRestored(r *run, random *rand.Rand) error {
	r.storeBusy.Lock()
	defer r.storeBusy.Unlock()
	for range 1 + random.IntN(2) {
		if err := r.operator.randomChange(); err != nil {
			return err
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		if err := r.restoreStore(random); err != nil {
			return err
		}
		time.Sleep(r.terms.StableWindow + time.Duration(random.IntN(2000))*time.Millisecond)
		if err := r.operator.change("a route is moved", r.operator.moveRoute); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) restoreStore(random *rand.Rand) error {
	r.mu.Lock()
	saved := r.saved[random.IntN(len(r.saved))]
	r.mu.Unlock()
	state := standin.State{Fault: []standin.Fault{standin.Silent, standin.Unavailable, standin.Reset}[random.IntN(3)]}
	end := r.recorder.window(Window{What: windowRestored, Kind: WindowStore})
	r.operator.setDown(true)
	r.setDoors(r.fleet.all(), state)
	time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	r.recorder.printf("the store goes on from a copy of %.1f s before", time.Since(saved.at).Seconds())
	r.fleet.store.Restore(saved.copy)
	r.setDoors(r.fleet.all(), standin.State{})
	end()
	r.registerAgain(random)
	time.Sleep(time.Duration(random.Int64N(int64(rewriteWithin))))
	defer r.operator.setDown(false)
	return r.operator.rewrite()
}

// registerAgain lets the upstreams write their registrations again, each with its next heartbeat. Those of upstreams
// that have ended expire.
func (r *run) registerAgain(random *rand.Rand) {
	live := r.liveUpstreams()
	for _, u := range live {
		time.AfterFunc(time.Duration(random.Int64N(int64(r.terms.Heartbeat))), func() {
			if !u.isGone() {
				r.check(u.register())
			}
		})
	}
	for _, key := range r.fleet.store.Keys("servers/") {
		if !slices.ContainsFunc(live, func(u *upstream) bool { return strings.HasSuffix(key, "/"+u.id) }) {
			time.AfterFunc(3*r.terms.Heartbeat, func() { r.fleet.store.Delete(key) })
		}
	}
}
