package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"time"

	"github.com/tailscale/hujson"
)

// maxDepth bounds nesting: deeper than any known key, and shallow enough that
// a hostile file can't exhaust the parser's stack.
const maxDepth = 16

// source is where settings came from. The zero source stands for settings that
// were built in code.
type source struct {
	file  string
	lines map[string]int // by dotted key
}

// at is the prefix of a message about key: file and line as far as known.
func (s source) at(key string) string {
	switch line := s.lines[key]; {
	case s.file == "":
		return ""
	case line == 0:
		return s.file + ": "
	default:
		return fmt.Sprintf("%s:%d: ", s.file, line)
	}
}

// decoder fills a settings struct from one file's syntax tree. The standard
// decoder doesn't say where an unknown key stands; this one does.
type decoder struct {
	text     []byte
	source   source
	problems []error
}

func newDecoder(file string, text []byte) *decoder {
	return &decoder{text: text, source: source{file: file, lines: map[string]int{}}}
}

// parse returns the file's top object.
func (d *decoder) parse() (*hujson.Object, error) {
	if depth(d.text) > maxDepth {
		return nil, Malformed.New("%s: nested deeper than %d", d.source.file, maxDepth)
	}
	tree, err := hujson.Parse(d.text)
	if err != nil {
		return nil, Malformed.New("%s: %s", d.source.file, err)
	}
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return nil, Malformed.New("%s:%d: want one object", d.source.file, d.line(tree.StartOffset))
	}
	return object, nil
}

// depth counts open brackets at their deepest. Brackets in strings and
// comments count too; no valid settings file has many.
func depth(text []byte) int {
	var open, deepest int
	for _, c := range text {
		switch c {
		case '{', '[':
			open++
			deepest = max(deepest, open)
		case '}', ']':
			open--
		}
	}
	return deepest
}

func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.text[:offset], []byte("\n"))
}

// object fills the struct behind target; prefix is the dotted key of object.
func (d *decoder) object(object *hujson.Object, prefix string, target reflect.Value) {
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		key := prefix + name
		line := d.line(member.Name.StartOffset)
		if first := d.source.lines[key]; first != 0 {
			d.problems = append(d.problems, WrongValue.New(
				"%s:%d: key %q is given twice, first on line %d", d.source.file, line, key, first))
			continue
		}
		field, ok := fieldByKey(target, name)
		if !ok {
			d.problems = append(d.problems, UnknownKey.New(
				"%s:%d: key %q is unknown; known here: %s", d.source.file, line, key, knownKeys(target.Type())))
			continue
		}
		d.source.lines[key] = line
		d.value(&member.Value, key, field)
	}
}

// value fills one field.
func (d *decoder) value(value *hujson.Value, key string, field reflect.Value) {
	if field.Kind() == reflect.Struct {
		object, ok := value.Value.(*hujson.Object)
		if !ok {
			d.wrong(key, value, "an object")
			return
		}
		d.object(object, key+".", field)
		return
	}
	text := value.Clone()
	text.Standardize()
	// null would leave the default in place without a word.
	packed := bytes.TrimSpace(text.Pack())
	if string(packed) == "null" || decodeLeaf(packed, field) != nil {
		d.wrong(key, value, wanted(field))
	}
}

func decodeLeaf(text []byte, field reflect.Value) error {
	duration, ok := field.Addr().Interface().(*time.Duration)
	if !ok {
		return json.Unmarshal(text, field.Addr().Interface())
	}
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	*duration = parsed
	return nil
}

func (d *decoder) wrong(key string, value *hujson.Value, want string) {
	d.problems = append(d.problems, WrongValue.New("%skey %q is %s; want %s",
		d.source.at(key), key, shorten(value.Value), want))
}

// shorten shows a value in a message.
func shorten(value hujson.ValueTrimmed) string {
	const most = 60
	switch v := value.(type) {
	case hujson.Literal:
		if len(v) > most {
			return string(v[:most]) + "..."
		}
		return string(v)
	case *hujson.Object:
		return "an object"
	default:
		return "an array"
	}
}

// wanted describes a field's JSON type.
func wanted(field reflect.Value) string {
	switch field.Interface().(type) {
	case time.Duration:
		return `a duration with a unit, such as "2s"`
	case slog.Level:
		return allowedLevels
	case []string:
		return "an array of strings"
	}
	switch field.Kind() {
	case reflect.Uint32:
		return fmt.Sprintf("a whole number, 0 to %d", uint32(math.MaxUint32))
	case reflect.Uint64:
		return fmt.Sprintf("a whole number, 0 to %d", uint64(math.MaxUint64))
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

func fieldByKey(target reflect.Value, key string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if target.Type().Field(i).Tag.Get("json") == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func knownKeys(t reflect.Type) string {
	var keys []byte
	for i := range t.NumField() {
		if i > 0 {
			keys = append(keys, ", "...)
		}
		keys = append(keys, t.Field(i).Tag.Get("json")...)
	}
	return string(keys)
}
