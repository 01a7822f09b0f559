// Package template reads the services and client accounts that operators write in TOML.
//
// A template holds parameters that many services or accounts share; a service or account
// names its template and overrides some of them. Load resolves them into the types of the
// rollout package. Its *tomlfile.ValidationError lists the errors of all files at once, each
// with the file and key where the value was written: those of the template for a value that
// comes from a template.
package template
