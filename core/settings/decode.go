package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tailscale/hujson"
)

// Decode decodes one document of JSON with comments and trailing commas into
// the value that into points to. Unknown fields and data after the document
// are errors; an error names its position in the file.
func Decode(data []byte, into any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return err // names its position
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("%s%w", position(standard, dec.InputOffset()), err)
	}
	if dec.More() {
		return fmt.Errorf("%s%w", position(standard, dec.InputOffset()), errTrailing)
	}
	return nil
}

var errTrailing = errors.New("data after the document")

// position returns "line L, column C: " of an offset. Comments were replaced
// by spaces, so positions are those of the original file.
func position(data []byte, offset int64) string {
	before := data[:min(int(offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d: ", line, column)
}
