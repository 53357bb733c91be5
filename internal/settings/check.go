package settings

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// tagOneSource is the check that a Secret names exactly one source.
const tagOneSource = "one_source"

var checks = newChecks()

func newChecks() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyOf)
	v.RegisterStructValidation(checkSecret, Secret{})
	v.RegisterStructValidation(checkUsage, Usage{})
	return v
}

func checkSecret(level validator.StructLevel) {
	secret := level.Current().Interface().(Secret)
	if (secret.File == "") == (secret.Env == "") {
		level.ReportError(secret.File, "file", "File", tagOneSource, "")
	}
}

// checkUsage asks for all times where usage is reported.
func checkUsage(level validator.StructLevel) {
	usage := level.Current().Interface().(Usage)
	if !usage.Reported() {
		return
	}
	for name, length := range map[string]time.Duration{"window": usage.Window, "delay": usage.Delay, "lease": usage.Lease} {
		if length == 0 {
			level.ReportError(length, name, name, "gt", "0")
		}
	}
}

// check adds the problems of the values of target, a pointer to a struct.
// Fields that already have a problem of type aren't reported twice.
func (f *filler) check(target any) {
	var failures validator.ValidationErrors
	if !errors.As(checks.Struct(target), &failures) {
		return
	}
	for _, failure := range failures {
		path := pathOf(failure)
		if f.isMistyped(path) {
			continue
		}
		at := f.find(path)
		f.problems = append(f.problems, Problem{Line: at.line, Column: at.column, Field: path, Reason: reasonOf(failure)})
	}
}

func (f *filler) isMistyped(path string) bool {
	for ; path != ""; path = parentOf(path) {
		if f.mistyped[path] {
			return true
		}
	}
	return false
}

// pathOf drops the type's name, with which the validator's paths begin. A
// secret's check concerns the secret and not one of its keys.
func pathOf(failure validator.FieldError) string {
	_, path, _ := strings.Cut(failure.Namespace(), ".")
	if failure.Tag() == tagOneSource {
		return parentOf(path)
	}
	return path
}

func reasonOf(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "is required"
	case "hostname_port":
		return "must be host:port, for example 10.0.0.5:8080"
	case "http_url":
		return "must be an http or https address, for example http://10.0.0.9:8500"
	case "oneof":
		return "must be one of: " + strings.Join(strings.Fields(failure.Param()), ", ")
	case "startswith":
		return "must begin with " + failure.Param()
	case "gte":
		return "must be " + failure.Param() + " or more"
	case "gt":
		return "must be more than " + failure.Param()
	case "nefield":
		return "must differ from " + strings.ToLower(failure.Param())
	case tagOneSource:
		return "set exactly one of file and env"
	default:
		return "fails the check " + failure.Tag()
	}
}
