// Package tomlfile decodes TOML files that operators write, and finds every fault of a file at once.
//
// go-toml parses the file; this package then assigns each value to a struct field by
// its "toml" tag. It refuses keys that the struct does not have, and values of another
// type, and goes on after each, so that one run lists them all. Fields that the file
// does not set keep their values, which are the defaults.
package tomlfile
