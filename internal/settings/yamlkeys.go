package settings

import (
	"reflect"
	"strings"
	"time"
)

// yamlKey returns the YAML key of a struct field.
func yamlKey(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// yamlKeys returns the YAML keys of a struct type's fields in their order.
func yamlKeys(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, yamlKey(t.Field(i)))
	}
	return keys
}

// fieldByKey returns the field of the struct target that has the YAML key, and
// false if there is none.
func fieldByKey(target reflect.Value, key string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if yamlKey(target.Type().Field(i)) == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// describeType describes the values of a scalar type for an error message.
func describeType(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return `a duration with its unit, for example "850ms"`
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// parentPath returns the path without its last key or list index; it is empty for
// a path of one key.
func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}
