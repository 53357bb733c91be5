// Package jsonvalue looks at and joins JSON values whose meaning the program doesn't know: fields that
// backend servers add to their responses. Start reading at Join.
package jsonvalue

import (
	"encoding/json"
	"strings"
)

// IsNull reports whether a value is null or missing.
func IsNull(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

// IsEmpty reports whether a value is null, missing, or an empty string, array or object.
func IsEmpty(value json.RawMessage) bool {
	switch string(value) {
	case "", "null", `""`, "[]", "{}":
		return true
	}
	return false
}

// Join joins the values that a server has sent one after the other for the same field: strings and arrays
// are appended, objects are joined field by field, and of other values the last one counts, as it does
// where they differ in kind. Null values change nothing; without any other the result is null.
func Join(values []json.RawMessage) json.RawMessage {
	var last, null json.RawMessage
	sameKind := true
	for _, value := range values {
		if IsNull(value) {
			null = value
			continue
		}
		sameKind = sameKind && (last == nil || last[0] == value[0])
		last = value
	}
	switch {
	case last == nil:
		return null
	case !sameKind:
		return last
	}
	var joined any
	switch last[0] {
	case '"':
		joined = strings.Join(decodeAll[string](values), "")
	case '[':
		elements := []json.RawMessage{}
		for _, list := range decodeAll[[]json.RawMessage](values) {
			elements = append(elements, list...)
		}
		joined = elements
	case '{':
		fields := Fields{}
		for _, object := range decodeAll[map[string]json.RawMessage](values) {
			fields.Add(object)
		}
		joined = fields.Join()
	default:
		return last
	}
	encoded, err := json.Marshal(joined)
	if err != nil {
		// Values that were decoded from valid JSON can be encoded.
		return last
	}
	return encoded
}

// decodeAll decodes the values that can be decoded; others are left out, null among them.
func decodeAll[T any](values []json.RawMessage) []T {
	decoded := make([]T, 0, len(values))
	for _, value := range values {
		var t T
		if IsNull(value) || json.Unmarshal(value, &t) != nil {
			continue
		}
		decoded = append(decoded, t)
	}
	return decoded
}
