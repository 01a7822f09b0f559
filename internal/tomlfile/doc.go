// Package tomlfile decodes TOML files written by operators and reports all of a file's errors at once.
//
// go-toml parses the file; this package then assigns each value to a struct field by
// its "toml" tag. It rejects unknown keys and values of the wrong type, and continues
// after each error so that one run reports them all. Fields that the file does not set
// keep their values, which are the defaults.
package tomlfile
