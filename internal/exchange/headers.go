package exchange

import "strings"

// hopByHop lists the hop-by-hop headers in lower case.
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

// IsHopByHop reports whether a header, given in lower case, is a hop-by-hop header.
func IsHopByHop(name string) bool {
	return hopByHop[name]
}

// ConnectionOptions is the set of header names, in lower case, that Connection headers list as
// hop-by-hop. The zero value is empty.
type ConnectionOptions map[string]bool

// Add adds the names in the value of a Connection header.
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
