// Package examples holds the templates of two example firms, as files and embedded.
package examples

import (
	"embed"
	"fmt"

	"github.com/damaskcove/damaskcove/internal/template"
)

// Files holds the examples: one directory for each firm.
//
//go:embed bunya-ridge qalqan
var Files embed.FS

// Firm is the name of a firm and of its directory in Files.
type Firm string

// Firms.
const (
	BunyaRidge Firm = "bunya-ridge"
	Qalqan     Firm = "qalqan"
)

// Availability zones of each firm.
var (
	BunyaRidgeZones = []string{"seq-1", "seq-2", "seq-3"}
	QalqanZones     = []string{"almaty-1", "almaty-2", "shymkent-1"}
)

// Region of each firm's zones.
const (
	BunyaRidgeRegion = "queensland"
	QalqanRegion     = "south-kazakhstan"
)

// Templates returns a firm's templates and client accounts.
func Templates(firm Firm) (*template.Set, error) {
	name := string(firm) + "/templates.toml"
	data, err := Files.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read example %q: %w", name, err)
	}
	return template.Parse(template.Source{Name: name, Data: data})
}
