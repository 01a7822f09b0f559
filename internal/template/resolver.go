package template

import (
	"cmp"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// located is a value and the file that it was read from.
type located[T any] struct {
	value T
	file  string
}

// resolver collects the entries of all files of a fleet, then resolves them.
type resolver struct {
	fieldErrors      []tomlfile.FieldError
	fleet            located[string]
	templates        map[string]located[serviceParameters]
	services         map[fleet.Service]located[serviceEntry]
	accountTemplates map[string]located[accountParameters]
	accounts         map[fleet.Account]located[accountEntry]
	accountKeys      map[fleet.Account]string // Key at which each account was written.
}

func newResolver() *resolver {
	return &resolver{
		templates:        make(map[string]located[serviceParameters]),
		services:         make(map[fleet.Service]located[serviceEntry]),
		accountTemplates: make(map[string]located[accountParameters]),
		accounts:         make(map[fleet.Account]located[accountEntry]),
		accountKeys:      make(map[fleet.Account]string),
	}
}

// addError records an error.
func (r *resolver) addError(file, key, value, format string, args ...any) {
	c := tomlfile.Collector{File: file}
	c.Add(key, value, format, args...)
	r.fieldErrors = append(r.fieldErrors, c.Fields...)
}

func (r *resolver) err() error {
	if len(r.fieldErrors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.fieldErrors, func(a, b tomlfile.FieldError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Key, b.Key))
	})
	return &tomlfile.ValidationError{Fields: r.fieldErrors}
}

// read decodes one file and adds its entries.
func (r *resolver) read(source Source) {
	var f file
	c := &tomlfile.Collector{File: source.Name}
	tomlfile.Decode(c, source.Data, &f)
	r.fieldErrors = append(r.fieldErrors, c.Fields...)
	r.setFleet(source.Name, f.Fleet)
	addEntries(r, source.Name, "template.", f.Templates, r.templates)
	addEntries(r, source.Name, "service.", f.Services, r.services)
	addEntries(r, source.Name, "account_template.", f.AccountTemplates, r.accountTemplates)
	for _, name := range sortedKeys(f.Accounts) {
		r.addAccount(source.Name, "account."+trimName(string(name)), name, f.Accounts[name])
	}
	for _, list := range sortedKeys(f.AccountLists) {
		r.addAccountList(source.Name, "accounts."+trimName(list), f.AccountLists[list])
	}
}

func (r *resolver) setFleet(file, name string) {
	if name == "" {
		return
	}
	if r.fleet.value != "" && r.fleet.value != name {
		r.addError(file, "fleet", tomlfile.FormatValue(name), "differs from %q in %s", r.fleet.value, r.fleet.file)
		return
	}
	r.fleet = located[string]{value: name, file: file}
}

// addEntries adds the entries of one kind, and reports each name that was already read.
func addEntries[K ~string, T any](r *resolver, file, prefix string, from map[K]T, into map[K]located[T]) {
	for _, name := range sortedKeys(from) {
		if before, ok := into[name]; ok {
			r.addError(file, prefix+trimName(string(name)), "", "is already defined in %s", before.file)
			continue
		}
		into[name] = located[T]{value: from[name], file: file}
	}
}

func (r *resolver) addAccount(file, key string, name fleet.Account, entry accountEntry) {
	if before, ok := r.accounts[name]; ok {
		r.addError(file, key, tomlfile.FormatValue(string(name)), "is already defined in %s at %s", before.file, r.accountKeys[name])
		return
	}
	r.accounts[name] = located[accountEntry]{value: entry, file: file}
	r.accountKeys[name] = key
}

func (r *resolver) addAccountList(file, key string, list accountList) {
	if len(list.Names) == 0 {
		r.addError(file, key+".names", "", "must contain at least one name")
	}
	for _, name := range list.Names {
		r.addAccount(file, key+".names", name, accountEntry{Template: list.Template})
	}
}
