package rollout

// Message is one message between instances about configuration.
type Message struct{}
