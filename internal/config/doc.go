// Package config reads the one TOML file of a node: decoded strictly by a library, checked by another and by rules
// across fields. Every error names the file, the key and what would be right; unknown keys are errors.
package config
