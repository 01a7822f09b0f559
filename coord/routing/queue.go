package routing

import "github.com/damaskcove/damaskcove/coord/fleet"

// purgeMin is the least number of accounts at which idle ones are dropped.
const purgeMin = 256

// accountQueue holds the waiting requests of one account, oldest first.
type accountQueue struct {
	account     fleet.Account
	weight      float64
	head, tail  *request
	count       int
	virtualTime float64 // Virtual time at which its next request starts.
}

// fairQueue serves the waiting requests of several accounts by weight
// (start-time fair queueing).
type fairQueue struct {
	accounts    map[fleet.Account]*accountQueue
	active      []*accountQueue // Accounts with waiting requests.
	virtualTime float64
	count       int
	purgeAt     int // Number of accounts at which those that are not ahead are dropped.
}

func newFairQueue() fairQueue {
	return fairQueue{accounts: make(map[fleet.Account]*accountQueue), purgeAt: purgeMin}
}

// push adds a request at its account's end.
func (q *fairQueue) push(r *request, weight float64) {
	a := q.accounts[r.Account]
	if a == nil {
		a = &accountQueue{account: r.Account}
		q.accounts[r.Account] = a
	}
	a.weight = weight
	if a.count == 0 {
		a.virtualTime = max(a.virtualTime, q.virtualTime)
		q.active = append(q.active, a)
	}
	a.insert(r)
	r.waitsIn = a
	q.count++
}

// next returns the request to serve next, without removing it.
func (q *fairQueue) next() *request {
	if len(q.active) == 0 {
		return nil
	}
	best := q.active[0]
	for _, a := range q.active[1:] {
		if a.virtualTime < best.virtualTime {
			best = a
		}
	}
	return best.head
}

// served removes a request that gets an endpoint and charges its account.
func (q *fairQueue) served(r *request) {
	a := r.waitsIn
	q.virtualTime = max(q.virtualTime, a.virtualTime)
	a.virtualTime += 1 / a.weight
	q.remove(r)
}

// remove takes a request out without charging its account.
func (q *fairQueue) remove(r *request) {
	a := r.waitsIn
	a.unlink(r)
	r.waitsIn = nil
	q.count--
	if a.count == 0 {
		q.deactivate(a)
	}
}

// deactivate drops an account that has nothing waiting. Its virtual time is kept
// while it is ahead of the queue's, so that leaving and coming back gains nothing.
func (q *fairQueue) deactivate(a *accountQueue) {
	for i := range q.active {
		if q.active[i] == a {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			break
		}
	}
	if len(q.active) == 0 {
		clear(q.accounts)
		q.virtualTime = 0
		return
	}
	if len(q.accounts) > q.purgeAt {
		q.purge()
	}
}

// purge drops the accounts that have nothing waiting and are not ahead of the queue.
func (q *fairQueue) purge() {
	for name, a := range q.accounts {
		if a.count == 0 && a.virtualTime <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
	q.purgeAt = 2*len(q.accounts) + purgeMin
}

// victim returns the request to shed when one of the given account arrives at a full
// queue: the newest of the account with the greatest excess. It returns nil when that is
// the arriving request. An account's only waiting request is shed for no other.
func (q *fairQueue) victim(account fleet.Account, weight float64) *request {
	var heaviest *accountQueue
	for _, a := range q.active {
		if heaviest == nil || a.excess() > heaviest.excess() {
			heaviest = a
		}
	}
	if heaviest == nil {
		return nil
	}
	held := 0
	if a := q.accounts[account]; a != nil {
		held = a.count
	}
	if float64(held)/weight >= heaviest.excess() {
		return nil
	}
	return heaviest.tail
}

// excess returns how much the account holds beyond one request, for its weight.
func (a *accountQueue) excess() float64 {
	return float64(a.count-1) / a.weight
}

func (a *accountQueue) insert(r *request) {
	a.count++
	if a.head == nil {
		a.head, a.tail = r, r
		return
	}
	r.before = a.tail
	a.tail.after = r
	a.tail = r
}

func (a *accountQueue) unlink(r *request) {
	a.count--
	if r.before == nil {
		a.head = r.after
	} else {
		r.before.after = r.after
	}
	if r.after == nil {
		a.tail = r.before
	} else {
		r.after.before = r.before
	}
	r.before, r.after = nil, nil
}
