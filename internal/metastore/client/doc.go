// Package client is the HTTP client of the platform's store and instance list.
//
// Each error of a Client wraps one of the metastore package's errors, for errors.Is:
//
//   - metastore.ErrUnavailable: the call was not executed and nothing was written;
//   - metastore.ErrUnknownResult: a write was sent and the store's response did not arrive;
//   - metastore.ErrNotFound, ErrConflict, ErrTooLarge, ErrLeaseLost: the store's response.
//
// Calls end with their context and have no timeout of their own. The package never
// retries a write.
package client
