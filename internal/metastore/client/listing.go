package client

import (
	"encoding/json"
	"errors"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// decodeListing decodes the platform's list. A field of another type, a number out of range or a value
// nested too deeply reads as the zero value, so that an odd entry leaves the others readable. What an
// entry needs at least is checked by the reader of the list.
func decodeListing(data []byte) (*metastore.Listing, error) {
	listing := new(metastore.Listing)
	err := json.Unmarshal(data, listing)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		listing = new(metastore.Listing)
		err = json.Unmarshal(cutDeep(data), listing)
	}
	var otherType *json.UnmarshalTypeError
	if errors.As(err, &otherType) {
		err = nil // Unmarshal has decoded the rest.
	}
	return listing, err
}

// maxListDepth is more than the levels that a list has. The decoder stops at 10,000.
const maxListDepth = 32

// cutDeep empties the JSON objects and arrays that are nested deeper than maxListDepth.
func cutDeep(data []byte) []byte {
	out := make([]byte, 0, len(data))
	depth, inString, escaped := 0, false, false
	for _, b := range data {
		keep := depth <= maxListDepth
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
			keep = depth <= maxListDepth
		}
		if keep {
			out = append(out, b)
		}
	}
	return out
}
