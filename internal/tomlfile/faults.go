package tomlfile

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// ErrorList collects the errors of a file.
type ErrorList struct {
	Undecodable bool // the file is not valid TOML and could not be validated further
	name        string
	lines       map[string]int // line of each key, with indices, such as class[0].aim
	errs        []error
	unreadable  []string // keys whose value could not be decoded, without indices
}

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// Add adds an error of a key. It is dropped if it only follows from one already reported: a value that could not be decoded,
// or anything below it, is not reported as missing too. The format starts with the separator that follows the key.
func (l *ErrorList) Add(key, format string, args ...any) {
	unindexed := arrayIndex.ReplaceAllString(key, "")
	for _, parent := range l.unreadable {
		if parent == unindexed || strings.HasPrefix(parent, unindexed+".") {
			return
		}
	}
	l.errs = append(l.errs, fmt.Errorf("%s: %s%w", l.position(key), key, fmt.Errorf(format, args...)))
}

// position returns the file name and, if the key or a table that holds it is in the file, the line.
func (l *ErrorList) position(key string) string {
	for prefix := key; prefix != ""; {
		if line := l.lines[prefix]; line > 0 {
			return fmt.Sprintf("%s:%d", l.name, line)
		}
		end := strings.LastIndexAny(prefix, ".[")
		if end < 0 {
			break
		}
		prefix = prefix[:end]
	}
	return l.name
}

// Err returns all errors joined, one per line, or nil if there are none.
func (l *ErrorList) Err() error { return errors.Join(l.errs...) }

// keyLines returns the line of each key. If the content is not valid TOML, it has the keys before the syntax error.
func keyLines(b []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	var parser unstable.Parser
	parser.Reset(b)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := "", 0
		for parts := expression.Key(); parts.Next(); {
			part := parts.Node()
			if line == 0 {
				line = parser.Shape(parser.Range(part.Data)).Start.Line
			}
			key += "." + string(part.Data)
		}
		key = strings.TrimPrefix(key, ".")
		switch expression.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, counts[key])
			counts[key]++
			lines[table] = line
		case unstable.Table:
			table = key
			lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			lines[key] = line
		}
	}
	return lines
}
