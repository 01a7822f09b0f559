package soak

import "time"

// Terms are the bounds of a deployment.
type Terms struct {
	ApplyWithin  time.Duration // From a configuration's acknowledgement to its effect.
	RevokeWithin time.Duration // From the acknowledgement of a key's removal to its effect everywhere; 0 for no bound.
	MaxStretch   time.Duration // How much longer that may take while the store serves some machines only or forgets its history.
	RevertSlack  time.Duration // From an effect of a version to the last effect of an older one.
	DrainWithin  time.Duration // From an upstream's leaving to its last request.
	StopWithin   time.Duration // From SIGTERM to SIGKILL.
	LossSlack    time.Duration
	StableWindow time.Duration // Calm time after which a machine counts as in touch.
	ReuseAfter   time.Duration // From an upstream's end to the reuse of its address.
	Heartbeat    time.Duration // Interval of the upstreams' registrations.
	MemoryBytes  int64         // That a process may use; 0 for any number.
	RetryWindow  time.Duration
	RetryRatio   float64 // Retries of a service as a share of its requests in a window.
	RetryExtra   int     // Additional retries in a window.
}

// DefaultTerms returns the bounds that the deployments share.
func DefaultTerms() Terms {
	return Terms{
		ApplyWithin:  2 * time.Second,
		MaxStretch:   5 * time.Second,
		RevertSlack:  250 * time.Millisecond,
		DrainWithin:  2 * time.Second,
		StopWithin:   6 * time.Second,
		LossSlack:    200 * time.Millisecond,
		StableWindow: 3 * time.Second,
		ReuseAfter:   2 * time.Second,
		Heartbeat:    1500 * time.Millisecond,
		RetryWindow:  10 * time.Second,
		RetryRatio:   0.2,
		RetryExtra:   62,
	}
}
