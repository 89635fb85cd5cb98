package tomlfile

import (
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Duration is a time span in a file, as "1.2s" or "300ms".
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

// Read reads a file's content into what fresh makes and checks it by its validate tags; name is for the errors.
func Read[T any](name string, b []byte, fresh func() T) (*T, *Faults) {
	f := &Faults{name: name, lines: linesOf(b)}
	v := decode(b, fresh, f)
	if !f.Fatal {
		check(&v, f)
	}
	return &v, f
}

var checker = func() *validator.Validate {
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

// right says in words what a check wants.
func right(e validator.FieldError) string {
	switch e.Tag() {
	case "required", "min":
		return "it has to be given"
	case "hostport":
		return "a numeric host:port is right, as 127.0.0.1:5060"
	case "lt":
		return "less than " + e.Param() + " is right"
	case "gt":
		return "more than " + e.Param() + " is right"
	case "gte":
		return e.Param() + " or more is right"
	case "lte":
		return e.Param() + " or less is right"
	case "max":
		return e.Param() + " characters at most are right"
	case "ltefield":
		return "no more than overload_enter is right"
	case "ltfield":
		return "less than " + strings.ToLower(e.Param()) + " is right"
	case "oneof":
		return "one of " + strings.ReplaceAll(e.Param(), " ", ", ") + " is right"
	}
	return e.Tag() + " " + e.Param() + " is right"
}

func check(v any, f *Faults) {
	err := checker.Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		if err != nil {
			f.Add("", "%w", err)
		}
		return
	}
	for _, e := range fields {
		_, key, _ := strings.Cut(e.Namespace(), ".")
		f.Add(key, " = %v: %s", e.Value(), right(e))
	}
}
