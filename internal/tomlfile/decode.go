package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxTypeErrors is the maximum number of values of a wrong type that are reported. Each costs one more pass over the file.
const maxTypeErrors = 50

// decode decodes TOML strictly and adds the errors to errs. The library stops at the first value of a wrong type, so each
// such value is blanked out and the rest decoded again, until all of them have been reported.
func decode[T any](b []byte, newValue func() T, errs *ErrorList) T {
	for {
		value := newValue()
		decoder := toml.NewDecoder(bytes.NewReader(b))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&value)
		var unknown *toml.StrictMissingError
		var invalid *toml.DecodeError
		switch {
		case err == nil:
			return value
		case errors.As(err, &unknown):
			for _, missing := range unknown.Errors {
				line, _ := missing.Position()
				errs.errs = append(errs.errs, fmt.Errorf("%s:%d: %s: no such key; see the documentation of this file for the valid keys",
					errs.name, line, strings.Join(missing.Key(), ".")))
			}
			return value
		case errors.As(err, &invalid):
			line, col := invalid.Position()
			key := strings.Join(invalid.Key(), ".")
			errs.errs = append(errs.errs, fmt.Errorf("%s:%d:%d: %s: %s", errs.name, line, col, key, invalid.Error()))
			blanked, syntax := blankValue(b, line)
			if blanked == nil || len(errs.unreadable) >= maxTypeErrors {
				var further *toml.DecodeError
				if errors.As(syntax, &further) && further.Error() != invalid.Error() {
					line, col := further.Position()
					errs.errs = append(errs.errs, fmt.Errorf("%s:%d:%d: %s", errs.name, line, col, further.Error()))
				}
				errs.Undecodable = true
				return value
			}
			b = blanked
			errs.unreadable = append(errs.unreadable, key)
		default:
			errs.errs, errs.Undecodable = append(errs.errs, fmt.Errorf("%s: %w", errs.name, err)), true
			return value
		}
	}
}

// blankValue empties a line and the lines after it that its value extends over. It returns nil if that is not possible, with
// the error if the content is not valid TOML.
func blankValue(b []byte, line int) ([]byte, error) {
	var parsed map[string]any
	if err := toml.Unmarshal(b, &parsed); err != nil {
		return nil, err
	}
	lines := bytes.Split(bytes.Clone(b), []byte("\n"))
	for i := line - 1; i >= 0 && i < len(lines); i++ {
		lines[i] = nil
		candidate := bytes.Join(lines, []byte("\n"))
		parsed = nil
		if toml.Unmarshal(candidate, &parsed) == nil {
			return candidate, nil
		}
	}
	return nil, nil
}
