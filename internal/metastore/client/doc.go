// Package client reaches the platform's store and instance list over HTTP.
//
// Each error of a Client is one of the platform package's errors, by errors.Is:
//
//   - platform.ErrUnavailable: the call was not taken, nothing was written;
//   - platform.ErrUnknownResult: a write was sent and no reply of the store came back;
//   - platform.ErrNotFound, ErrConflict, ErrTooLarge, ErrLeaseLost: the store's own reply.
//
// Calls end with their context and have no time limit of their own. A write is
// never sent twice by this package.
package client
