package settings

import _ "embed"

// Example is a commented settings file that shows every default.
//
//go:embed example.toml
var Example []byte
