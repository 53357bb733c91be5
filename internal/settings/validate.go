package settings

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// tagOneSource is the tag under which validateSecret reports a SecretSource that
// doesn't set exactly one of its fields.
const tagOneSource = "one_source"

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	v.RegisterStructValidation(validateSecret, SecretSource{})
	v.RegisterStructValidation(validateUsage, UsageReporting{})
	return v
}

func validateSecret(level validator.StructLevel) {
	secret := level.Current().Interface().(SecretSource)
	if (secret.File == "") == (secret.Env == "") {
		level.ReportError(secret.File, "file", "File", tagOneSource, "")
	}
}

// validateUsage requires the three durations when usage reporting is enabled.
func validateUsage(level validator.StructLevel) {
	usage := level.Current().Interface().(UsageReporting)
	if !usage.Enabled() {
		return
	}
	for name, duration := range map[string]time.Duration{"window": usage.Window, "delay": usage.Delay, "lease": usage.Lease} {
		if duration == 0 {
			level.ReportError(duration, name, name, "gt", "0")
		}
	}
}

// validate appends a problem for each value of target, a pointer to a struct,
// that fails its validation tags. Fields that already have a decoding problem
// aren't reported again.
func (d *decoder) validate(target any) {
	var failures validator.ValidationErrors
	if !errors.As(validate.Struct(target), &failures) {
		return
	}
	for _, failure := range failures {
		path := fieldPath(failure)
		if d.hasProblem(path) {
			continue
		}
		pos := d.positionOf(path)
		d.problems = append(d.problems, Problem{Line: pos.line, Column: pos.column, Field: path, Reason: describeFailure(failure)})
	}
}

// hasProblem reports whether path or a key that encloses it has a decoding problem.
func (d *decoder) hasProblem(path string) bool {
	for ; path != ""; path = parentPath(path) {
		if d.invalidPaths[path] {
			return true
		}
	}
	return false
}

// fieldPath returns the path of the failed field without the leading type name
// that the validator adds. For tagOneSource it returns the path of the secret,
// since the failure concerns the secret as a whole and not one of its keys.
func fieldPath(failure validator.FieldError) string {
	_, path, _ := strings.Cut(failure.Namespace(), ".")
	if failure.Tag() == tagOneSource {
		return parentPath(path)
	}
	return path
}

func describeFailure(failure validator.FieldError) string {
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
	case "lte":
		return "must be " + failure.Param() + " or less"
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
