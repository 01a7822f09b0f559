package claims

import (
	"expvar"

	"github.com/damaskcove/damaskcove/coord/result"
)

// unlisted counts answers whose code is not in the table of codes.
const unlisted = "unlisted"

// answers counts the answers of the process to keyed requests and look-ups, by the name of their code.
var answers = expvar.NewMap("claim_answers")

// count counts an answer to a caller of this instance.
func (c *Claims) count(code result.Code) {
	name := unlisted
	if entry, ok := result.Lookup(code); ok {
		name = entry.Name
	}
	c.codes.Add(name, 1)
	answers.Add(name, 1)
}
