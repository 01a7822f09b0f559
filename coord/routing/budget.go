package routing

// retryBudget is a token bucket that limits retries and hedges to a share of the
// admitted requests.
//
// Each request's first attempt adds share tokens; each retry or hedge takes one. The
// balance never exceeds burst, so over any window with n admitted requests at most
// share*n + burst extra attempts start. Retries cannot amplify an outage: when every
// request fails, load rises by no more than the share.
type retryBudget struct {
	share   float64
	burst   float64
	balance float64
}

// configure sets the share and the burst, and caps the balance at the burst.
func (b *retryBudget) configure(share float64, burst int) {
	b.share = share
	b.burst = float64(burst)
	b.balance = min(b.balance, b.burst)
}

// deposit adds the tokens of one admitted request.
func (b *retryBudget) deposit() {
	b.balance = min(b.balance+b.share, b.burst)
}

// take takes the token for one retry or hedge and reports whether there was one.
func (b *retryBudget) take() bool {
	if b.share <= 0 || b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// takeSpare takes a token for a trial request, unless that would leave none for a retry.
func (b *retryBudget) takeSpare() bool {
	reserve := min(1, b.burst-1)
	return b.balance >= 1+reserve && b.take()
}

// refund returns a token that was taken and not used.
func (b *retryBudget) refund() {
	b.balance = min(b.balance+1, b.burst)
}
