// Package edit computes the change to the fleet's configuration that an operator's edit makes.
//
// The base of an edit is the configuration that the operator's templates resolved to when they
// were last applied. The change contains only the differences from the base, so that it leaves
// templates that others added or changed in the meantime as they are.
package edit

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"

	"github.com/damaskcove/damaskcove/coord/rollout"
)

// maxBaseBytes bounds the uncompressed size of a base file.
const maxBaseBytes = 1 << 30

// baseMode is the file mode of base files.
const baseMode = 0o600

// ChangeBetween returns the change that turns base into desired. base may be nil.
func ChangeBetween(base, desired *rollout.Config) rollout.Change {
	if base == nil {
		base = &rollout.Config{}
	}
	return rollout.Change{
		Services:       changed(base.Services, desired.Services),
		Accounts:       changed(base.Accounts, desired.Accounts),
		RemoveServices: removed(base.Services, desired.Services),
		RemoveAccounts: removed(base.Accounts, desired.Accounts),
	}
}

func changed[K ~string, T any](base, desired map[K]T) []T {
	var out []T
	for _, name := range sortedKeys(desired) {
		before, ok := base[name]
		if !ok || !reflect.DeepEqual(before, desired[name]) {
			out = append(out, desired[name])
		}
	}
	return out
}

func removed[K ~string, T any](base, desired map[K]T) []K {
	var out []K
	for _, name := range sortedKeys(base) {
		if _, ok := desired[name]; !ok {
			out = append(out, name)
		}
	}
	return out
}

func sortedKeys[K ~string, T any](m map[K]T) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// BaseFile returns the path of the file that stores the base of a templates file or directory.
func BaseFile(templates string) string {
	info, err := os.Stat(templates)
	if err == nil && info.IsDir() {
		return filepath.Join(templates, ".damaskctl-base.json.gz")
	}
	return templates + ".base.json.gz"
}

// ReadBase reads a base file. It returns nil if the file does not exist.
func ReadBase(path string) (*rollout.Config, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read base: %w", err)
	}
	defer func() { _ = file.Close() }()
	reader, err := gzip.NewReader(file)
	if err != nil {
		return nil, fmt.Errorf("read base %s: %w", path, err)
	}
	var config rollout.Config
	if err := json.NewDecoder(io.LimitReader(reader, maxBaseBytes)).Decode(&config); err != nil {
		return nil, fmt.Errorf("read base %s: %w", path, err)
	}
	return &config, nil
}

// WriteBase stores the templates that were applied as the base of the next edit. accepted is the
// configuration after the change. The base gets accepted's revision only if the two are equal.
// Otherwise its revision is 0, so that the next edit is checked for conflicts with others' changes.
func WriteBase(path string, applied, accepted *rollout.Config) error {
	base := *applied
	base.Revision = 0
	if len(rollout.Diff(applied, accepted)) == 0 {
		base.Revision = accepted.Revision
	}
	data, err := compressBase(base)
	if err != nil {
		return fmt.Errorf("encode base: %w", err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, baseMode); err != nil {
		return fmt.Errorf("write base: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("write base: %w", err)
	}
	return nil
}

// compressBase encodes a base as compressed JSON.
func compressBase(base rollout.Config) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(base); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
