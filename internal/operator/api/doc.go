// Package api holds the JSON that the operator endpoints of an instance answer with.
//
// The endpoints listen on the instance's operator address and want the header
// "Authorization: Bearer <token>", except PathHealth. Fields are only ever added.
package api
