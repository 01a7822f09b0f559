// Package edit turns an operator's templates into a change of the fleet's configuration.
//
// The base of an edit is the configuration that the operator last knew: what the templates
// resolved to when they were last applied. Only what the operator changed since becomes
// part of the change, so that templates which others added or changed stay as they are.
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

// maxBaseBytes bounds a base file once it is unpacked.
const maxBaseBytes = 1 << 30

// baseMode is the mode of base files.
const baseMode = 0o600

// ChangeBetween returns the change that leads from base to wanted. base may be nil.
func ChangeBetween(base, wanted *rollout.Config) rollout.Change {
	if base == nil {
		base = &rollout.Config{}
	}
	return rollout.Change{
		Services:       changed(base.Services, wanted.Services),
		Accounts:       changed(base.Accounts, wanted.Accounts),
		RemoveServices: removed(base.Services, wanted.Services),
		RemoveAccounts: removed(base.Accounts, wanted.Accounts),
	}
}

func changed[K ~string, T any](base, wanted map[K]T) []T {
	var out []T
	for _, name := range sortedKeys(wanted) {
		before, ok := base[name]
		if !ok || !reflect.DeepEqual(before, wanted[name]) {
			out = append(out, wanted[name])
		}
	}
	return out
}

func removed[K ~string, T any](base, wanted map[K]T) []K {
	var out []K
	for _, name := range sortedKeys(base) {
		if _, ok := wanted[name]; !ok {
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

// BaseFile returns the name of the file that keeps the base of a templates file or directory.
func BaseFile(templates string) string {
	info, err := os.Stat(templates)
	if err == nil && info.IsDir() {
		return filepath.Join(templates, ".damaskctl-base.json.gz")
	}
	return templates + ".base.json.gz"
}

// ReadBase reads a base file. It returns nil when there is none.
func ReadBase(path string) (*rollout.Config, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read base: %w", err)
	}
	defer func() { _ = file.Close() }()
	packed, err := gzip.NewReader(file)
	if err != nil {
		return nil, fmt.Errorf("read base %s: %w", path, err)
	}
	var config rollout.Config
	if err := json.NewDecoder(io.LimitReader(packed, maxBaseBytes)).Decode(&config); err != nil {
		return nil, fmt.Errorf("read base %s: %w", path, err)
	}
	return &config, nil
}

// WriteBase keeps the templates that were applied as the base of the next edit. accepted is the
// configuration after the change. The base has accepted's revision only when it is the whole of it:
// else a later edit is compared with what others have changed.
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
	next := path + ".new"
	if err := os.WriteFile(next, data, baseMode); err != nil {
		return fmt.Errorf("write base: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("write base: %w", err)
	}
	return nil
}

// compressBase returns a base as compressed JSON.
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
