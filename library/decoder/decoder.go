// Package decoder reads TOML into structs and collects everything that does
// not fit, each with its place, where the TOML library alone stops at the
// first value of a wrong type. It knows nothing of what the values mean: the
// readers of manifests and settings check that.
package decoder

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/heathervane/heathervane/library/finder"
)

// maxShown bounds how many bytes of an input a finding repeats, because the
// input may be hostile and findings are kept in the audit trail.
const maxShown = 60

// Decode reads TOML of at most limit bytes into the struct that into points
// to, by its toml tags. Fields that the input leaves out keep their values.
// Keys are matched with their case. Whatever can be read is read, also where
// there are findings.
func Decode(data []byte, into any, limit int) finder.Findings {
	var w walker
	if len(data) > limit {
		w.found.Addf("line 1", "is %d bytes long, more than the %d allowed", len(data), limit)
		return w.found
	}
	if line, ok := tooDeep(data); !ok {
		w.found.Addf(fmt.Sprintf("line %d", line), "nests deeper than %d levels", maxDepth)
		return w.found
	}
	raw := map[string]any{}
	if _, err := toml.Decode(string(data), &raw); err != nil {
		w.syntax(err)
		return w.found
	}
	w.table("", raw, reflect.ValueOf(into).Elem())
	return w.found
}

// A Defaulter is an entry of a table whose fields have other defaults than
// zero. It is preset before its keys are read, so that a zero that somebody
// wrote is told from a key left out.
type Defaulter interface {
	SetDefaults()
}

type walker struct {
	found finder.Findings
}

func (w *walker) syntax(err error) {
	var p toml.ParseError
	if !errors.As(err, &p) {
		w.found.Addf("line 1", "%s", Truncate(err.Error()))
		return
	}
	text := p.Message
	if text == "" {
		text = p.Error()
	}
	w.found.Addf(fmt.Sprintf("line %d", p.Position.Line), "%s", Truncate(text))
}

// table reads a TOML table into a struct, key by key in the order of names, so
// that the same input gives the same findings in the same order.
func (w *walker) table(place string, raw map[string]any, v reflect.Value) {
	fields := fieldsOf(v)
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		at := JoinPath(place, key)
		f, ok := fields[key]
		if !ok {
			w.found.AddHintf(at, strings.ToLower(key), slices.Sorted(maps.Keys(fields)), "unknown key")
			continue
		}
		w.value(at, raw[key], f)
	}
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("toml"); tag != "" && tag != "-" {
			fields[tag] = v.Field(i)
		}
	}
	return fields
}

func (w *walker) value(place string, raw any, v reflect.Value) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		w.text(place, raw, t)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if m, ok := raw.(map[string]any); ok {
			w.table(place, m, v)
			return
		}
	case reflect.Map:
		if m, ok := raw.(map[string]any); ok {
			w.entries(place, m, v)
			return
		}
	case reflect.Slice:
		if l, ok := raw.([]any); ok {
			w.list(place, l, v)
			return
		}
	case reflect.Int:
		if n, ok := raw.(int64); ok && !v.OverflowInt(n) {
			v.SetInt(n)
			return
		}
	default:
		if r := reflect.ValueOf(raw); r.Kind() == v.Kind() {
			v.Set(r.Convert(v.Type()))
			return
		}
	}
	w.found.Addf(place, "is %s, not %s", nameOf(raw), wanted(v))
}

func (w *walker) text(place string, raw any, into encoding.TextUnmarshaler) {
	s, ok := raw.(string)
	if !ok {
		w.found.Addf(place, "is %s, not a string with a unit", nameOf(raw))
		return
	}
	if err := into.UnmarshalText([]byte(s)); err != nil {
		w.found.Addf(place, "%s", Truncate(err.Error()))
	}
}

func (w *walker) entries(place string, raw map[string]any, v reflect.Value) {
	m := reflect.MakeMapWithSize(v.Type(), len(raw))
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		e := reflect.New(v.Type().Elem()).Elem()
		if p, ok := e.Addr().Interface().(Defaulter); ok {
			p.SetDefaults()
		}
		w.value(JoinPath(place, key), raw[key], e)
		m.SetMapIndex(reflect.ValueOf(key), e)
	}
	v.Set(m)
}

func (w *walker) list(place string, raw []any, v reflect.Value) {
	l := reflect.MakeSlice(v.Type(), len(raw), len(raw))
	for i, r := range raw {
		w.value(fmt.Sprintf("%s[%d]", place, i), r, l.Index(i))
	}
	v.Set(l)
}

// JoinPath puts a key behind a dotted place; a key that would blur the place is
// quoted.
func JoinPath(place, key string) string {
	if key == "" || strings.ContainsAny(key, ". \t\r\n\"'") || len(key) > maxShown {
		key = fmt.Sprintf("%q", Truncate(key))
	}
	if place == "" {
		return key
	}
	return place + "." + key
}

// Truncate cuts a text from an input to a length fit for a finding.
func Truncate(text string) string {
	if len(text) <= maxShown {
		return text
	}
	return strings.ToValidUTF8(text[:maxShown], "") + "…"
}

func nameOf(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "an array"
	default:
		return "a date"
	}
}

func wanted(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Struct, reflect.Map:
		return "a table"
	case reflect.Slice:
		return "an array"
	case reflect.Int:
		return "an integer in range"
	case reflect.Bool:
		return "a boolean"
	default:
		return "a string"
	}
}
