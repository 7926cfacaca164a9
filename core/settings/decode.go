package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// FieldError is one problem of a settings file.
type FieldError struct {
	Position string // "line L, column C", or empty when the value is not in the file
	Field    string // dot-separated path
	Text     string
}

// Error returns position, field and text, separated by colons.
func (e *FieldError) Error() string {
	var parts []string
	for _, part := range []string{e.Position, e.Field, e.Text} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// parse parses JSON with comments. A final comment needs no trailing newline.
func parse(data []byte) (hujson.Value, error) {
	root, err := hujson.Parse(data)
	if err == nil {
		return root, nil
	}
	if ended, endedErr := hujson.Parse(append(slices.Clip(data), '\n')); endedErr == nil {
		return ended, nil
	}
	return hujson.Value{}, err
}

// Decode decodes one document of JSON with comments and trailing commas into the value
// that into points to. Unknown and duplicate fields, wrong types and data after the
// document are errors. Each unknown field, duplicate field and wrong type is reported
// as a *FieldError in the joined error; valid fields are decoded regardless.
func Decode(data []byte, into any) error {
	root, err := parse(data)
	if err != nil {
		return err // contains its position
	}
	var c checker
	c.value(root, reflect.TypeOf(into), "")
	var errs []error
	for _, p := range c.problems {
		errs = append(errs, &FieldError{Position: position(data, p.offset), Field: p.field, Text: p.text})
	}
	root.Standardize()
	var wrongType *json.UnmarshalTypeError
	if err := json.Unmarshal(root.Pack(), into); err != nil && !errors.As(err, &wrongType) {
		errs = append(errs, fmt.Errorf("settings: %w", err))
	}
	return errors.Join(errs...)
}
