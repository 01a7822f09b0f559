// Package settings reads the settings of one instance of the daemon.
//
// Load goes through four steps: defaults, the TOML file, provision (files that the
// settings name are read), validation. It returns settings that are whole, or a
// *tomlfile.ValidationError that lists every fault with file, key, value and bound. Secrets are
// never shown.
package settings
