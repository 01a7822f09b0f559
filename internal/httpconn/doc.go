// Package httpconn exchanges one HTTP/1.1 request at a time on a connection that its caller owns.
//
// It reports what a caller must know before it retries a request: whether any byte of the request
// can have reached the peer, and whether the answer was complete. Messages are read and written by
// fasthttp. A connection whose peer is unreachable is closed by TCP keep-alive or TCP_USER_TIMEOUT.
package httpconn
