package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Difference is one field of one template that differs between two configurations.
type Difference struct {
	Template string `json:"template"` // "service NAME" or "account NAME".
	Field    string `json:"field"`    // Empty when the whole template was added or removed.
	Before   string `json:"before"`   // Empty when it was added.
	After    string `json:"after"`    // Empty when it was removed.
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Field != "":
		return fmt.Sprintf("%s: %s: %s -> %s", d.Template, d.Field, d.Before, d.After)
	case d.Before == "":
		return fmt.Sprintf("%s: added: %s", d.Template, d.After)
	default:
		return fmt.Sprintf("%s: removed: %s", d.Template, d.Before)
	}
}

// Diff returns the differences that lead from a to b, sorted by template. Either may be nil.
func Diff(a, b *Config) []Difference {
	a, b = orEmpty(a), orEmpty(b)
	differences := diffTemplates("service ", a.Services, b.Services)
	differences = append(differences, diffTemplates("account ", a.Accounts, b.Accounts)...)
	slices.SortStableFunc(differences, func(x, y Difference) int { return cmp.Compare(x.Template, y.Template) })
	return differences
}

func orEmpty(c *Config) *Config {
	if c == nil {
		return &Config{}
	}
	return c
}

func diffTemplates[K ~string, T any](prefix string, a, b map[K]T) []Difference {
	var differences []Difference
	for name, before := range a {
		after, ok := b[name]
		if !ok {
			differences = append(differences, Difference{Template: prefix + string(name), Before: show(before)})
			continue
		}
		differences = append(differences, diffFields(prefix+string(name), before, after)...)
	}
	for name, after := range b {
		if _, ok := a[name]; !ok {
			differences = append(differences, Difference{Template: prefix + string(name), After: show(after)})
		}
	}
	return differences
}

func diffFields(template string, before, after any) []Difference {
	x, y := reflect.ValueOf(before), reflect.ValueOf(after)
	var differences []Difference
	for i := range x.NumField() {
		if equalField(x.Field(i), y.Field(i)) {
			continue
		}
		differences = append(differences, Difference{
			Template: template,
			Field:    x.Type().Field(i).Tag.Get("json"),
			Before:   show(x.Field(i).Interface()),
			After:    show(y.Field(i).Interface()),
		})
	}
	return differences
}

// equalField compares two fields; an empty list equals an absent one.
func equalField(x, y reflect.Value) bool {
	if x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(x.Interface(), y.Interface())
}

func show(v any) string {
	return fmt.Sprintf("%+v", v)
}

// TemplateNames returns the sorted names of the templates that a change sets or removes, in
// the form of Difference.Template.
func (c Change) TemplateNames() []string {
	names := make(map[string]bool)
	for _, t := range c.Services {
		names["service "+string(t.Name)] = true
	}
	for _, name := range c.RemoveServices {
		names["service "+string(name)] = true
	}
	for _, t := range c.Accounts {
		names["account "+string(t.Name)] = true
	}
	for _, name := range c.RemoveAccounts {
		names["account "+string(name)] = true
	}
	return slices.Sorted(maps.Keys(names))
}
