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

// problem is one fault of a file: where it is, in which field, and what.
type problem struct {
	offset int
	field  string // path with dots; empty for the document itself
	text   string
}

// checker compares a parsed document with the type that it is decoded into.
type checker struct {
	problems []problem
}

func (c *checker) add(at hujson.Value, field, format string, args ...any) {
	c.problems = append(c.problems, problem{offset: at.StartOffset, field: field, text: fmt.Sprintf(format, args...)})
}

// value checks one value of the document and everything below it.
func (c *checker) value(v hujson.Value, t reflect.Type, field string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() == reflect.Interface || reflect.PointerTo(t).Implements(unmarshaler) {
		return // decoding checks it
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
		c.add(v, field, "%s instead of an object", kindName(v))
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
			c.add(m.Name, path, "given twice")
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
		c.add(v, field, "%s instead of an array", kindName(v))
		return
	}
	for i, element := range array.Elements {
		c.value(element, t.Elem(), fmt.Sprintf("%s.%d", field, i))
	}
}

// literal checks a string, number or boolean by decoding it alone.
func (c *checker) literal(v hujson.Value, t reflect.Type, field string) {
	text, ok := v.Value.(hujson.Literal)
	if !ok || string(text) == "null" || json.Unmarshal(text, reflect.New(t).Interface()) != nil {
		c.add(v, field, "%s instead of %s", kindName(v), wantName(t))
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

func kindName(v hujson.Value) string {
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

func wantName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number of type " + t.String()
	}
}

// position returns "line L, column C" of an offset.
func position(data []byte, offset int) string {
	before := data[:min(offset, len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return "line " + strconv.Itoa(line) + ", column " + strconv.Itoa(column)
}
