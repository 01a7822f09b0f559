// Package quota decides whether a client account's request may run now, within the account's limit over all instances.
//
// Each instance holds a copy of each account's token bucket, which covers the sum over all instances. It deducts its own
// requests at once and those of others when they report them. Reports are cumulative counts, so that the next one makes
// up for a lost one and a duplicate has no effect.
//
// With n instances, each contributes an n-th of every rate. An instance credits its own part continuously, and that of a
// peer up to its last message, unless the message ends a gap of more than maxGap. So the sides of a network partition
// share the rate; each may spend a stored burst, for which the capacity of buckets leaves room.
//
// Requests that are placed before the reports of others arrive find the same tokens at each instance. The capacity of
// buckets leaves room for them as well, but not for more than the tolerance of a bound: that many arrivals at different
// instances within one report's delay may exceed it. Three and more sides of a partition may spend a stored burst each.
package quota
