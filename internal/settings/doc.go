// Package settings reads the settings of one instance of the daemon.
//
// Load applies the defaults, decodes the TOML file over them, reads the files that the
// settings refer to, and validates the result. It returns complete settings, or a
// *tomlfile.ValidationError that lists every invalid setting with its file, key, value and
// bound. Errors never contain secrets.
package settings
