package routing

// retryBudget bounds retries and hedges by a share of the requests taken.
//
// Each request's first attempt adds share; each retry or hedge takes one. The
// balance never exceeds burst, so over any window that took n requests at most
// share*n + burst extra attempts start. An outage cannot be amplified: when every
// request fails, load rises by no more than the share.
type retryBudget struct {
	share   float64
	burst   float64
	balance float64
}

// configure sets the share and the burst and keeps the balance within the burst.
func (b *retryBudget) configure(share float64, burst int) {
	b.share = share
	b.burst = float64(burst)
	b.balance = min(b.balance, b.burst)
}

// deposit records one request taken.
func (b *retryBudget) deposit() {
	b.balance = min(b.balance+b.share, b.burst)
}

// take uses up one retry or hedge and reports whether the budget allowed it.
func (b *retryBudget) take() bool {
	if b.share <= 0 || b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// takeSpare uses up one unless that would leave none for a retry.
func (b *retryBudget) takeSpare() bool {
	reserve := min(1, b.burst-1)
	return b.balance >= 1+reserve && b.take()
}

// refund gives back one that was taken and not used.
func (b *retryBudget) refund() {
	b.balance = min(b.balance+1, b.burst)
}
