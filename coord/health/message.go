package health

// Evidence is what a carrier saw of its attempts, sent to the service's judge.
type Evidence struct{}

// Verdict is a judge's answer to one Evidence.
type Verdict struct{}
