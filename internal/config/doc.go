// Package config reads and validates the TOML configuration file of a node. Unknown keys are errors. Values are checked by
// their validate tags, then by rules that span several fields. Each error names the file, the key and the accepted values.
package config
