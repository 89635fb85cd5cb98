// Package tomlfile decodes and validates the project's TOML files. It reports all errors of a file at once, each with file,
// line, key and the accepted values. It works on a file's content. Values are validated by the validate tags of the struct;
// the caller adds further errors with ErrorList.Add.
package tomlfile
