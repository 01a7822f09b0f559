package exchange

import "strings"

// hopByHop lists, in lower case, the headers that end at each hop.
var hopByHop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
}

// IsHopByHop reports whether a header, named in lower case, ends at each hop.
func IsHopByHop(name string) bool {
	return hopByHop[name]
}

// ConnectionOptions is the set of headers, in lower case, that Connection headers name
// as ending at this hop. The zero value is empty.
type ConnectionOptions map[string]bool

// Add takes the value of one Connection header.
func (n *ConnectionOptions) Add(value string) {
	for name := range strings.SplitSeq(value, ",") {
		name = strings.ToLower(strings.TrimSpace(name))
		if name == "" {
			continue
		}
		if *n == nil {
			*n = make(ConnectionOptions)
		}
		(*n)[name] = true
	}
}
