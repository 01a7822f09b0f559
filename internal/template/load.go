package template

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Limits on the input of Load.
const (
	MaxFileBytes = 32 << 20
	MaxFiles     = 1000
)

// Set is the resolved configuration of a fleet.
type Set struct {
	Fleet    string
	Services []rollout.ServiceTemplate // Sorted by name.
	Accounts []rollout.AccountTemplate // Sorted by name.
	Sizes    map[fleet.Service]Size
}

// Size is the capacity that the operator expects a service to have. The floor is checked
// against it; it is not part of the configuration.
type Size struct {
	Endpoints        int // 0 if not set.
	SlotsPerEndpoint int // 0 if not set.
}

// Source is the name and content of one file.
type Source struct {
	Name string
	Data []byte
}

// Load reads and resolves the templates in a file, or in all ".toml" files of a directory.
// The error is a *tomlfile.ValidationError.
func Load(path string) (*Set, error) {
	sources, err := read(path)
	if err != nil {
		return nil, &tomlfile.ValidationError{Fields: []tomlfile.FieldError{{File: path, Problem: err.Error()}}}
	}
	return Parse(sources...)
}

// Parse resolves the templates of all sources together.
func Parse(sources ...Source) (*Set, error) {
	r := newResolver()
	for _, source := range sources {
		r.read(source)
	}
	set := r.resolve()
	if err := r.err(); err != nil {
		return nil, err
	}
	return set, nil
}

// Config returns the set as a configuration without a revision.
func (s *Set) Config() *rollout.Config {
	config := &rollout.Config{
		Services: make(map[fleet.Service]rollout.ServiceTemplate, len(s.Services)),
		Accounts: make(map[fleet.Account]rollout.AccountTemplate, len(s.Accounts)),
	}
	for _, service := range s.Services {
		config.Services[service.Name] = service
	}
	for _, account := range s.Accounts {
		config.Accounts[account.Name] = account
	}
	return config
}

func read(path string) ([]Source, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read templates: %w", err)
	}
	if !info.IsDir() {
		source, err := readFile(path)
		return []Source{source}, err
	}
	names, err := filepath.Glob(filepath.Join(path, "*.toml"))
	if err != nil {
		return nil, fmt.Errorf("read templates: %w", err)
	}
	if len(names) == 0 || len(names) > MaxFiles {
		return nil, fmt.Errorf("directory has %d .toml files, must have 1 to %d", len(names), MaxFiles)
	}
	slices.Sort(names)
	var sources []Source
	for _, name := range names {
		source, err := readFile(name)
		if err != nil {
			return nil, err
		}
		sources = append(sources, source)
	}
	return sources, nil
}

func readFile(path string) (Source, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Source{}, fmt.Errorf("read templates: %w", err)
	}
	if info.Size() > MaxFileBytes {
		return Source{}, fmt.Errorf("file %s has %d bytes, the maximum is %d", path, info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Source{}, fmt.Errorf("read templates: %w", err)
	}
	return Source{Name: path, Data: data}, nil
}

// trimName truncates a name for use in FieldError.Key.
func trimName(name string) string {
	const maxBytes = 80
	name = strings.ToValidUTF8(name, "?")
	if len(name) > maxBytes {
		return name[:maxBytes] + "..."
	}
	return name
}
