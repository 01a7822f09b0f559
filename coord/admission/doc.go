// Package admission decides what an instance takes on when the machine's file descriptors or memory run
// short: which connections of callers stay open, and which bodies of requests are received.
//
// The types are not safe for concurrent use. They hold no sockets and read no clock.
package admission
