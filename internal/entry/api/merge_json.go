package api

import "encoding/json"

// mergeJSON joins two JSON values that a server has sent one after the other for the same field of a
// response: strings and arrays are appended, objects are merged field by field, and of other values the
// later one counts. A missing or null value changes nothing.
func mergeJSON(earlier, later json.RawMessage) json.RawMessage {
	if isNull(later) {
		return earlier
	}
	if isNull(earlier) {
		return later
	}
	merged := later
	switch {
	case earlier[0] == '"' && later[0] == '"':
		merged = mergeAs(earlier, later, func(a, b string) string { return a + b })
	case earlier[0] == '[' && later[0] == '[':
		merged = mergeAs(earlier, later, func(a, b []json.RawMessage) []json.RawMessage { return append(a, b...) })
	case earlier[0] == '{' && later[0] == '{':
		merged = mergeAs(earlier, later, mergeFields)
	}
	return merged
}

// mergeFields adds the fields of later to those of earlier and returns them.
func mergeFields(earlier, later map[string]json.RawMessage) map[string]json.RawMessage {
	if earlier == nil {
		earlier = map[string]json.RawMessage{}
	}
	for name, value := range later {
		earlier[name] = mergeJSON(earlier[name], value)
	}
	return earlier
}

// mergeAs decodes two values, joins them and encodes the result. Values that were decoded from valid JSON
// don't fail; if one does, the later one is returned.
func mergeAs[T any](earlier, later json.RawMessage, join func(earlier, later T) T) json.RawMessage {
	var a, b T
	if json.Unmarshal(earlier, &a) != nil || json.Unmarshal(later, &b) != nil {
		return later
	}
	merged, err := json.Marshal(join(a, b))
	if err != nil {
		return later
	}
	return merged
}

func isNull(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }
