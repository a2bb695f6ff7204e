// Package jsonlist splits lists in JSON into their elements, so that one element that cannot be decoded does not cost
// the others.
//
// encoding/json decodes a document whole or not at all: a value of another type, a number out of range or deep nesting
// in one element fails all of it.
package jsonlist

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// errMalformed is the error of a document that is no JSON object.
var errMalformed = errors.New("no JSON object")

// Cut returns the elements of the list in a field of a JSON object, and the object with that list empty. A list that is
// null, or missing, has no elements. Only the structure of the object is checked; json.Unmarshal checks the rest.
func Cut(object []byte, field string) (rest []byte, elements []json.RawMessage, err error) {
	s := splitter{text: object}
	if !s.skip('{') {
		return nil, nil, errMalformed
	}
	rest = object
	for !s.skip('}') {
		name, ok := s.value()
		if !ok || !s.skip(':') {
			return nil, nil, errMalformed
		}
		value, ok := s.value()
		if !ok {
			return nil, nil, errMalformed
		}
		if isName(name, field) && value[0] == '[' {
			if elements, ok = split(value); !ok {
				return nil, nil, errMalformed
			}
			end := s.next
			rest = append(append(bytes.Clone(object[:end-len(value)]), "[]"...), object[end:]...)
		}
		if !s.skip(',') && s.peek() != '}' {
			return nil, nil, errMalformed
		}
	}
	return rest, elements, nil
}

// isName reports whether a JSON string is the name of a field.
func isName(text []byte, field string) bool {
	var name string
	return json.Unmarshal(text, &name) == nil && name == field
}

// split returns the elements of a JSON list.
func split(list []byte) (elements []json.RawMessage, ok bool) {
	s := splitter{text: list}
	s.skip('[')
	for !s.skip(']') {
		element, ok := s.value()
		if !ok {
			return nil, false
		}
		elements = append(elements, element)
		if !s.skip(',') && s.peek() != ']' {
			return nil, false
		}
	}
	return elements, true
}

// splitter finds where the values in a JSON text end. It does not recurse, so that no nesting is too deep.
type splitter struct {
	text []byte
	next int
}

// peek returns the next byte that is no white space; zero at the end.
func (s *splitter) peek() byte {
	for s.next < len(s.text) {
		switch b := s.text[s.next]; b {
		case ' ', '\t', '\r', '\n':
			s.next++
		default:
			return b
		}
	}
	return 0
}

// skip skips a byte, and reports whether it came next.
func (s *splitter) skip(b byte) bool {
	if s.peek() != b {
		return false
	}
	s.next++
	return true
}

// value returns the next value.
func (s *splitter) value() (value []byte, ok bool) {
	s.peek()
	began, depth := s.next, 0
	for s.next < len(s.text) {
		b := s.text[s.next]
		if depth == 0 && s.next > began && isEnd(b) {
			return s.text[began:s.next], true
		}
		s.next++
		switch b {
		case '"':
			if !s.endString() {
				return nil, false
			}
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		isWhole := b == '"' || b == ']' || b == '}'
		if depth < 0 {
			return nil, false
		}
		if depth == 0 && isWhole {
			return s.text[began:s.next], true
		}
	}
	return s.text[began:], depth == 0 && s.next > began
}

// isEnd reports whether a byte ends a number or a word.
func isEnd(b byte) bool { return bytes.IndexByte([]byte(",:]} \t\r\n"), b) >= 0 }

// endString skips the rest of a string, and reports whether it ends.
func (s *splitter) endString() bool {
	for s.next < len(s.text) {
		b := s.text[s.next]
		s.next++
		switch b {
		case '"':
			return true
		case '\\':
			s.next++
		}
	}
	return false
}
