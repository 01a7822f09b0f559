package membership

// Message is one message of the membership protocol.
type Message struct{}
