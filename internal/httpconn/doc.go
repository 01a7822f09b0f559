// Package httpconn exchanges one HTTP/1.1 request at a time on a connection that its caller owns.
//
// It tells what a caller needs to know before it sends a request again: whether any byte
// of the request can have reached the other side, and whether the answer was whole.
// The messages are read and written by fasthttp; connections are dialed so that one whose
// other side has gone silent ends by itself.
package httpconn
