// Package template reads the templates and client accounts that operators write in TOML.
//
// A shared template holds the parameters of many services or accounts; a service or an
// account names its template and overrides few of them. Load resolves them into
// the rollout package's types. It returns a *tomlfile.ValidationError that lists every
// fault of every file at once, each with the place where the value was written: that of the template
// when the value came from there.
package template
