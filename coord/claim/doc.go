// Package claim runs each non-idempotent request at most once and says truthfully what became of it.
package claim
