// Package api defines the JSON responses of an instance's operator endpoints.
//
// The endpoints listen on the instance's operator address and require the header
// "Authorization: Bearer <token>", except PathHealth. Fields are added but never removed.
package api
