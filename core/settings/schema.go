package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// problem is one problem of a file, with its byte offset and field.
type problem struct {
	offset int
	field  string // dot-separated path; empty for the document itself
	text   string
}

// checker validates a parsed document against the type that it is decoded into.
type checker struct {
	problems []problem
}

func (c *checker) add(at hujson.Value, field, format string, args ...any) {
	c.problems = append(c.problems, problem{offset: at.StartOffset, field: field, text: fmt.Sprintf(format, args...)})
}

// value validates a value of the document and its descendants.
func (c *checker) value(v hujson.Value, t reflect.Type, field string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() == reflect.Interface || reflect.PointerTo(t).Implements(unmarshaler) {
		return // validated when it is decoded
	}
	switch t.Kind() {
	case reflect.Struct:
		c.object(v, field, func(name string) (reflect.Type, bool) { return fieldType(t, name) })
	case reflect.Map:
		c.object(v, field, func(string) (reflect.Type, bool) { return t.Elem(), true })
	case reflect.Slice:
		c.array(v, t, field)
	default:
		c.literal(v, t, field)
	}
}

func (c *checker) object(v hujson.Value, field string, typeOf func(name string) (reflect.Type, bool)) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.add(v, field, "%s instead of an object", describeValue(v))
		return
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		var name string
		if err := json.Unmarshal(m.Name.Value.(hujson.Literal), &name); err != nil {
			c.add(m.Name, field, "name: %v", err)
			continue
		}
		path := strings.TrimPrefix(field+"."+name, ".")
		t, known := typeOf(name)
		switch {
		case seen[name]:
			c.add(m.Name, path, "duplicate field")
		case !known:
			c.add(m.Name, path, "unknown field")
		default:
			c.value(m.Value, t, path)
		}
		seen[name] = true
	}
}

func (c *checker) array(v hujson.Value, t reflect.Type, field string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		c.add(v, field, "%s instead of an array", describeValue(v))
		return
	}
	for i, element := range array.Elements {
		c.value(element, t.Elem(), fmt.Sprintf("%s.%d", field, i))
	}
}

// literal validates a string, number or boolean by decoding it separately.
func (c *checker) literal(v hujson.Value, t reflect.Type, field string) {
	text, ok := v.Value.(hujson.Literal)
	if !ok || string(text) == "null" || json.Unmarshal(text, reflect.New(t).Interface()) != nil {
		c.add(v, field, "%s instead of %s", describeValue(v), expectedTypeName(t))
	}
}

// fieldType returns the type of the struct field with the JSON name.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name && tag != "-" && tag != "" {
			return f.Type, true
		}
	}
	return nil, false
}

// describeValue describes a value for an error message: by kind for an object or an
// array, by its text for a literal.
func describeValue(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		return string(value)
	default:
		return "nothing"
	}
}

func expectedTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "an integer of type " + t.String()
	}
}

// position returns "line L, column C" for a byte offset, both counted from 1.
func position(data []byte, offset int) string {
	before := data[:min(offset, len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return "line " + strconv.Itoa(line) + ", column " + strconv.Itoa(column)
}
