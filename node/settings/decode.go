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

// maxDepth bounds nesting. No known key is nested this deeply, and the limit
// keeps a malicious file from exhausting the parser's stack.
const maxDepth = 16

// source records where settings were read from. The zero source stands for
// settings that were constructed in code.
type source struct {
	file  string
	lines map[string]int // line number by dotted key
}

// position returns the prefix of messages about key: the file and line, as far
// as they are known.
func (s source) position(key string) string {
	switch line := s.lines[key]; {
	case s.file == "":
		return ""
	case line == 0:
		return s.file + ": "
	default:
		return fmt.Sprintf("%s:%d: ", s.file, line)
	}
}

// decoder fills a settings struct from the syntax tree of a file. Unlike
// encoding/json, it reports the line of an unknown key.
type decoder struct {
	text     []byte
	source   source
	problems []error
}

func newDecoder(file string, text []byte) *decoder {
	return &decoder{text: text, source: source{file: file, lines: map[string]int{}}}
}

// parse returns the file's top-level object.
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
		return nil, Malformed.New("%s:%d: want a single JSON object", d.source.file, d.line(tree.StartOffset))
	}
	return object, nil
}

// depth returns the maximum number of open brackets. It also counts brackets in
// strings and comments, which are rare in valid settings files.
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

// line returns the line number of a byte offset.
func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.text[:offset], []byte("\n"))
}

// decodeObject sets the fields of the struct target from object. The prefix is
// the dotted key of object, including the trailing dot.
func (d *decoder) decodeObject(object *hujson.Object, prefix string, target reflect.Value) {
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
		d.decodeValue(&member.Value, key, field)
	}
}

// decodeValue sets one field.
func (d *decoder) decodeValue(value *hujson.Value, key string, field reflect.Value) {
	if field.Kind() == reflect.Struct {
		object, ok := value.Value.(*hujson.Object)
		if !ok {
			d.addWrongValue(key, value, "an object")
			return
		}
		d.decodeObject(object, key+".", field)
		return
	}
	text := value.Clone()
	text.Standardize()
	// A null would silently leave the default in place.
	packed := bytes.TrimSpace(text.Pack())
	if string(packed) == "null" || decodeLeaf(packed, field) != nil {
		d.addWrongValue(key, value, describeType(field))
	}
}

// decodeLeaf unmarshals a value that is not an object into field.
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

func (d *decoder) addWrongValue(key string, value *hujson.Value, want string) {
	d.problems = append(d.problems, WrongValue.New("%skey %q is %s; want %s",
		d.source.position(key), key, describeValue(value.Value), want))
}

// describeValue formats a value for an error message.
func describeValue(value hujson.ValueTrimmed) string {
	const maxLength = 60
	switch v := value.(type) {
	case hujson.Literal:
		if len(v) > maxLength {
			return string(v[:maxLength]) + "..."
		}
		return string(v)
	case *hujson.Object:
		return "an object"
	default:
		return "an array"
	}
}

// describeType describes the JSON type of a field for an error message.
func describeType(field reflect.Value) string {
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
