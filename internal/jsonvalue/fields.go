package jsonvalue

import "encoding/json"

// Fields collects the values of each field of an object that arrives in parts. They are joined once, at the
// end: joining each part with all before it would take time by the square of their number.
type Fields map[string][]json.RawMessage

// Add adds the fields of one part.
func (f Fields) Add(part map[string]json.RawMessage) {
	for name, value := range part {
		f[name] = append(f[name], value)
	}
}

// Join returns the object.
func (f Fields) Join() map[string]json.RawMessage {
	joined := make(map[string]json.RawMessage, len(f))
	for name, values := range f {
		if value := Join(values); len(value) > 0 {
			joined[name] = value
		}
	}
	return joined
}
