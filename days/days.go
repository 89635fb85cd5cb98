// Package days embeds the built-in day files.
package days

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names returns the names of the built-in days.
func Names() (names []string) {
	entries, _ := files.ReadDir(".") // embedded: it always exists
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Read returns the content of a built-in day's file.
func Read(name string) ([]byte, error) {
	b, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("unknown day %q: must be one of %s, or a path that ends in .toml",
			name, strings.Join(Names(), ", "))
	}
	return b, nil
}
