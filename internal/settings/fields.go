package settings

import (
	"reflect"
	"strings"
	"time"
)

// keyOf returns the YAML key of a struct's field.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func keysOf(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, keyOf(t.Field(i)))
	}
	return keys
}

func fieldByKey(target reflect.Value, key string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if keyOf(target.Type().Field(i)) == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// nameOf names a scalar type in words an operator reads.
func nameOf(t reflect.Type) string {
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func parentOf(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}
