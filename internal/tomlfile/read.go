package tomlfile

import (
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Duration is a time span in a file, such as "1.2s" or "300ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Decode decodes the content of a file into a value returned by newValue, which holds the defaults, and validates it by its
// validate tags. name is the file's name in the errors. newValue may be called more than once.
func Decode[T any](name string, b []byte, newValue func() T) (*T, *ErrorList) {
	errs := &ErrorList{name: name, lines: keyLines(b)}
	value := decode(b, newValue, errs)
	if !errs.Undecodable {
		validate(&value, errs)
	}
	return &value, errs
}

var structValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	if err := v.RegisterValidation("hostport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	}); err != nil {
		panic(err)
	}
	return v
}()

// constraint describes what a failed validation requires.
func constraint(failed validator.FieldError) string {
	switch failed.Tag() {
	case "required", "min":
		return "must be set"
	case "hostport":
		return "must be a numeric host:port, such as 127.0.0.1:5060"
	case "lt":
		return "must be less than " + failed.Param()
	case "gt":
		return "must be more than " + failed.Param()
	case "gte":
		return "must be at least " + failed.Param()
	case "lte":
		return "must be at most " + failed.Param()
	case "max":
		return "must have at most " + failed.Param() + " characters"
	case "ltefield":
		return "must be at most overload_enter"
	case "ltfield":
		return "must be less than " + strings.ToLower(failed.Param())
	case "oneof":
		return "must be one of " + strings.ReplaceAll(failed.Param(), " ", ", ")
	}
	return "must satisfy " + failed.Tag() + " " + failed.Param()
}

// validate checks a value by its validate tags and adds the failures to errs.
func validate(value any, errs *ErrorList) {
	err := structValidator.Struct(value)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		if err != nil {
			errs.Add("", "%w", err)
		}
		return
	}
	for _, failed := range failures {
		_, key, _ := strings.Cut(failed.Namespace(), ".")
		errs.Add(key, " = %v: %s", failed.Value(), constraint(failed))
	}
}
