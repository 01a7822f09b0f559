// Package load generates requests at a set rate and measures how long their answers take.
//
// It is open-loop: requests start at times that were drawn beforehand, however slow the
// answers are. The time of a request counts from its drawn start, so that a stall delays
// no measurement (coordinated omission); the time from its real start is kept beside it.
package load
