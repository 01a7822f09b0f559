package claims

import (
	"expvar"

	"github.com/damaskcove/damaskcove/coord/result"
)

// unlistedCode is the counter of answers whose code is not in result.Table.
const unlistedCode = "unlisted"

// processAnswers counts the answers of all instances in the process to keyed requests and
// look-ups, by the name of their code.
var processAnswers = expvar.NewMap("claim_answers")

// count adds an answer to the counters of this instance and of the process.
func (c *Claims) count(code result.Code) {
	name := unlistedCode
	if entry, ok := result.Lookup(code); ok {
		name = entry.Name
	}
	c.answersByCode.Add(name, 1)
	processAnswers.Add(name, 1)
}
