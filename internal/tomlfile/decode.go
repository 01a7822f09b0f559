package tomlfile

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// maxFormattedBytes bounds a value in an error message; longer ones are truncated.
const maxFormattedBytes = 80

// Decode assigns the values of a TOML file to the struct that into points to, and adds
// an error to c for each value that it can't assign.
func Decode(c *Collector, data []byte, into any) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		c.Add("", "", "%s", syntaxProblem(err))
		return
	}
	d := decoder{collector: c}
	d.table("", tree, reflect.ValueOf(into).Elem())
}

func syntaxProblem(err error) string {
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, column := syntax.Position()
		return fmt.Sprintf("line %d, column %d: %s", row, column, syntax.Error())
	}
	return err.Error()
}

type decoder struct {
	collector *Collector
}

var (
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// table decodes a table into a struct.
func (d decoder) table(path string, tree map[string]any, into reflect.Value) {
	fields := fieldsByKey(into.Type())
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		index, ok := fields[key]
		if !ok {
			d.collector.Add(join(path, key), "", "unknown key; the known keys are %s", knownKeys(fields))
			continue
		}
		d.value(join(path, key), tree[key], into.FieldByIndex(index))
	}
}

// value decodes a value into a field of any supported type. A pointer stays nil if its value is invalid.
func (d decoder) value(path string, value any, into reflect.Value) {
	if into.Kind() == reflect.Pointer {
		target := reflect.New(into.Type().Elem())
		before := len(d.collector.Fields)
		d.value(path, value, target.Elem())
		if len(d.collector.Fields) == before {
			into.Set(target)
		}
		return
	}
	if reflect.PointerTo(into.Type()).Implements(unmarshalerType) {
		d.text(path, value, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.structure(path, value, into)
	case reflect.Slice:
		d.slice(path, value, into)
	case reflect.Map:
		d.mapping(path, value, into)
	default:
		d.scalar(path, value, into)
	}
}

func (d decoder) structure(path string, value any, into reflect.Value) {
	tree, ok := value.(map[string]any)
	if !ok {
		d.mismatch(path, value, "a table")
		return
	}
	d.table(path, tree, into)
}

func (d decoder) slice(path string, value any, into reflect.Value) {
	items, ok := value.([]any)
	if !ok {
		d.mismatch(path, value, "an array")
		return
	}
	out := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	into.Set(out)
}

func (d decoder) mapping(path string, value any, into reflect.Value) {
	tree, ok := value.(map[string]any)
	if !ok {
		d.mismatch(path, value, "a table")
		return
	}
	out := reflect.MakeMapWithSize(into.Type(), len(tree))
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		item := reflect.New(into.Type().Elem()).Elem()
		d.value(join(path, key), tree[key], item)
		out.SetMapIndex(reflect.ValueOf(key).Convert(into.Type().Key()), item)
	}
	into.Set(out)
}

// text decodes a value with encoding.TextUnmarshaler. Whole numbers are passed in decimal.
func (d decoder) text(path string, value any, into reflect.Value) {
	var text string
	switch v := value.(type) {
	case string:
		text = v
	case int64:
		text = strconv.FormatInt(v, 10)
	default:
		d.mismatch(path, value, "a string or a whole number")
		return
	}
	unmarshaler, _ := into.Addr().Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
		d.collector.Add(path, FormatValue(value), "%s", err)
	}
}

func (d decoder) scalar(path string, value any, into reflect.Value) {
	if into.Type() == durationType {
		d.duration(path, value, into)
		return
	}
	switch into.Kind() {
	case reflect.String:
		text, ok := value.(string)
		if !ok {
			d.mismatch(path, value, "a string")
			return
		}
		into.SetString(text)
	case reflect.Bool:
		b, ok := value.(bool)
		if !ok {
			d.mismatch(path, value, "true or false")
			return
		}
		into.SetBool(b)
	case reflect.Int, reflect.Int64:
		n, ok := value.(int64)
		if !ok || into.OverflowInt(n) {
			d.mismatch(path, value, "a whole number")
			return
		}
		into.SetInt(n)
	case reflect.Float64:
		d.float(path, value, into)
	default:
		panic("tomlfile: field of " + path + " has the unsupported type " + into.Type().String())
	}
}

func (d decoder) float(path string, value any, into reflect.Value) {
	switch v := value.(type) {
	case float64:
		into.SetFloat(v)
	case int64:
		into.SetFloat(float64(v))
	default:
		d.mismatch(path, value, "a number")
	}
}

func (d decoder) duration(path string, value any, into reflect.Value) {
	text, ok := value.(string)
	if !ok {
		d.mismatch(path, value, `a duration with a unit, such as "250ms"`)
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.mismatch(path, value, `a duration with a unit, such as "250ms"`)
		return
	}
	into.SetInt(int64(duration))
}

func (d decoder) mismatch(path string, value any, want string) {
	d.collector.Add(path, FormatValue(value), "must be %s", want)
}

// FormatValue formats a value for FieldError.Value.
func FormatValue(value any) string {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = strconv.Quote(s)
	}
	if len(text) > maxFormattedBytes {
		text = text[:maxFormattedBytes] + "..."
	}
	return text
}

// fieldsByKey returns the index of each field with a TOML key, including fields of embedded structs.
func fieldsByKey(t reflect.Type) map[string][]int {
	fields := make(map[string][]int, t.NumField())
	for _, field := range reflect.VisibleFields(t) {
		if key := field.Tag.Get("toml"); key != "" && key != "-" {
			fields[key] = field.Index
		}
	}
	return fields
}

func knownKeys(fields map[string][]int) string {
	return fmt.Sprint(slices.Sorted(maps.Keys(fields)))
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
