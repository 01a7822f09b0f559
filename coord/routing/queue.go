package routing

import "github.com/damaskcove/damaskcove/coord/fleet"

// purgeMin is the minimum of fairQueue.purgeAt.
const purgeMin = 256

// accountQueue is the FIFO queue of one account's waiting requests.
type accountQueue struct {
	account     fleet.Account
	weight      float64
	head, tail  *request
	count       int
	virtualTime float64 // Virtual start time of its next request.
}

// fairQueue orders the waiting requests of several accounts by weight
// (start-time fair queueing).
type fairQueue struct {
	accounts    map[fleet.Account]*accountQueue
	active      []*accountQueue // Accounts with waiting requests.
	virtualTime float64
	count       int
	purgeAt     int // Number of accounts above which purge runs.
}

func newFairQueue() fairQueue {
	return fairQueue{accounts: make(map[fleet.Account]*accountQueue), purgeAt: purgeMin}
}

// push appends a request to its account's queue.
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
	r.queuedIn = a
	q.count++
}

// peek returns the next request in fair order without removing it, or nil.
func (q *fairQueue) peek() *request {
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

// dequeue removes a request that was dispatched and charges its account.
func (q *fairQueue) dequeue(r *request) {
	a := r.queuedIn
	q.virtualTime = max(q.virtualTime, a.virtualTime)
	a.virtualTime += 1 / a.weight
	q.remove(r)
}

// remove removes a request without charging its account.
func (q *fairQueue) remove(r *request) {
	a := r.queuedIn
	a.unlink(r)
	r.queuedIn = nil
	q.count--
	if a.count == 0 {
		q.deactivate(a)
	}
}

// deactivate removes an account without waiting requests from the active ones. Its
// virtual time is kept while it is ahead of the queue's and other accounts are active,
// so that an account gains nothing by letting its queue run empty.
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

// purge removes the accounts that have no waiting requests and whose virtual time is not
// ahead of the queue's.
func (q *fairQueue) purge() {
	for account, a := range q.accounts {
		if a.count == 0 && a.virtualTime <= q.virtualTime {
			delete(q.accounts, account)
		}
	}
	q.purgeAt = 2*len(q.accounts) + purgeMin
}

// victim returns the request to shed when a request of the given account arrives at a
// full queue: the newest request of the account with the largest excess, or nil when the
// arriving request is the one to shed. An account's only waiting request is never shed
// for another account's.
func (q *fairQueue) victim(account fleet.Account, weight float64) *request {
	var largest *accountQueue
	for _, a := range q.active {
		if largest == nil || a.excess() > largest.excess() {
			largest = a
		}
	}
	if largest == nil {
		return nil
	}
	queued := 0
	if a := q.accounts[account]; a != nil {
		queued = a.count
	}
	if float64(queued)/weight >= largest.excess() {
		return nil
	}
	return largest.tail
}

// excess returns the number of waiting requests beyond the first, divided by the weight.
func (a *accountQueue) excess() float64 {
	return float64(a.count-1) / a.weight
}

func (a *accountQueue) insert(r *request) {
	a.count++
	if a.head == nil {
		a.head, a.tail = r, r
		return
	}
	r.prev = a.tail
	a.tail.next = r
	a.tail = r
}

func (a *accountQueue) unlink(r *request) {
	a.count--
	if r.prev == nil {
		a.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		a.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
