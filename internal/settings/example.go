package settings

import _ "embed"

// Example is a commented settings file that contains every default.
//
//go:embed example.toml
var Example []byte
