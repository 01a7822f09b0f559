// Package replica decides how an instance keeps a copy of the keys of a store: what a batch of changes covers, which
// batches an instance may apply, and when it fetches changes for itself.
//
// Guarantee: a Copy at revision r holds, for each key, what the store held at r. Keys that changed while a read of all
// keys went from page to page may be ahead: they hold what the store held at a later revision, and later batches repeat
// their changes. An instance is never told a revision whose changes it lacks, whoever sent the batch, and whatever was
// lost, delayed, repeated or divided on the way.
//
// Times are those of the caller's clock. Nothing here is safe for concurrent use.
package replica
