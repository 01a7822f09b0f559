// Package boottime reads a clock that includes the time that the machine spent suspended.
package boottime
