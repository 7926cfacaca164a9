// Package jsonarray finds the elements of a large array in a JSON document without decoding
// them, so that a caller can decode only those that it has not seen before.
package jsonarray

import "bytes"

// Cut returns the elements of the array that is the value of a top-level field, as slices
// of doc, and the document without the field. ok is false if doc has no such array or not
// exactly one, or is no object; the caller then decodes the whole document.
//
// Cut checks only the structure around the elements. Whether they, and the rest, are valid
// is found when they are decoded.
func Cut(doc []byte, field string) (rest []byte, elements [][]byte, ok bool) {
	s := scanner{data: doc}
	if !s.take('{') {
		return nil, nil, false
	}
	rest = append(rest, '{')
	found := false
	for !s.take('}') {
		if found || len(rest) > 1 {
			if !s.take(',') {
				return nil, nil, false
			}
		}
		key := s.value()
		if len(key) < 2 || key[0] != '"' || !s.take(':') {
			return nil, nil, false
		}
		if string(key[1:len(key)-1]) == field {
			if found {
				return nil, nil, false
			}
			if elements, found = s.elements(); !found {
				return nil, nil, false
			}
			continue
		}
		value := s.value()
		if len(value) == 0 {
			return nil, nil, false
		}
		if len(rest) > 1 {
			rest = append(rest, ',')
		}
		rest = append(append(append(rest, key...), ':'), value...)
	}
	s.space()
	return append(rest, '}'), elements, found && s.at == len(doc)
}

// scanner reads a JSON text.
type scanner struct {
	data []byte
	at   int
}

func (s *scanner) space() {
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// take skips space and reports whether the next byte is c, which it reads.
func (s *scanner) take(c byte) bool {
	s.space()
	if s.at < len(s.data) && s.data[s.at] == c {
		s.at++
		return true
	}
	return false
}

// elements reads an array.
func (s *scanner) elements() (list [][]byte, ok bool) {
	if !s.take('[') {
		return nil, false
	}
	for !s.take(']') {
		if len(list) > 0 && !s.take(',') {
			return nil, false
		}
		value := s.value()
		if len(value) == 0 {
			return nil, false
		}
		list = append(list, value)
	}
	return list, true
}

// value reads one value. It returns nil at the end of the text.
func (s *scanner) value() []byte {
	s.space()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			if !s.text() {
				return nil
			}
			if depth == 0 {
				return s.data[start:s.at]
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.data[start:s.at] // the end of the value around it
			}
			if depth--; depth == 0 {
				s.at++
				return s.data[start:s.at]
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.data[start:s.at]
			}
		}
		s.at++
	}
	return nil
}

// text reads a string that begins at the present byte.
func (s *scanner) text() bool {
	for at := s.at + 1; ; {
		n := bytes.IndexByte(s.data[at:], '"')
		if n < 0 {
			return false
		}
		at += n
		backslashes := 0
		for s.data[at-1-backslashes] == '\\' {
			backslashes++
		}
		at++
		if backslashes%2 == 0 {
			s.at = at
			return true
		}
	}
}
