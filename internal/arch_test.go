package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// purePackages use no sockets, files, loggers or clocks (docs/access-node.md).
var purePackages = []string{"actor", "node", "pool", "release", "rules", "sip", "sip/transaction", "standin", "timers", "virtual",
	"config", "tomlfile", "membership", "serverstate", "upperbound", "emulator", "baseline", "day",
	"edge/access", "edge/admission", "edge/reachability", "edge/caller", "edge/trunk", "edge/feed", "edge/settings", "edge/scenario",
	"snmp/ber", "snmp/usm", "snmp/mib", "snmp/agent", "snmp/notify"}

// TestLayers checks that pure packages import none of the forbidden packages, and that those in allowedImports import,
// from this module, only the packages listed there.
func TestLayers(t *testing.T) {
	forbidden := []string{"net", "os", "os/exec", "log", "log/slog", "syscall"}
	allowedImports := map[string][]string{
		"rules":             {"larkrouter/internal/sip"},
		"sip":               {},
		"sip/transaction":   {"larkrouter/internal/sip", "larkrouter/internal/timers"},
		"timers":            {},
		"pool":              {"larkrouter", "larkrouter/internal/sip"},
		"edge/trunk":        {},
		"edge/feed":         {},
		"edge/reachability": {},
		"edge/admission":    {},
		"edge/caller":       {"larkrouter/internal/sip"},
		"edge/settings":     {"larkrouter", "larkrouter/internal/wire"},
		"edge/access": {"larkrouter", "larkrouter/internal/edge/admission", "larkrouter/internal/edge/caller",
			"larkrouter/internal/edge/feed", "larkrouter/internal/edge/reachability", "larkrouter/internal/edge/settings",
			"larkrouter/internal/edge/trunk", "larkrouter/internal/sip", "larkrouter/internal/timers"},
		"node": {"larkrouter", "larkrouter/internal/actor", "larkrouter/internal/membership", "larkrouter/internal/pool",
			"larkrouter/internal/release", "larkrouter/internal/serverstate", "larkrouter/internal/sip",
			"larkrouter/internal/sip/transaction", "larkrouter/internal/timers"},
	}
	for _, pkg := range purePackages {
		files, err := filepath.Glob(pkg + "/*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v, %d files", pkg, err, len(files))
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || pkg == "config" && (filepath.Base(file) == "load.go" || filepath.Base(file) == "snmp.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, imp := range f.Imports {
				path := strings.Trim(imp.Path.Value, `"`)
				if slices.Contains(forbidden, path) {
					t.Errorf("%s imports %s: a pure package must not import it", file, path)
				}
				if allowed, ok := allowedImports[pkg]; ok && strings.HasPrefix(path, "larkrouter") && !slices.Contains(allowed, path) {
					t.Errorf("%s imports %s, which is not in allowedImports", file, path)
				}
			}
		}
	}
}

// TestNoClocks checks that no pure package reads a clock or starts a timer.
func TestNoClocks(t *testing.T) {
	for _, pkg := range purePackages {
		err := filepath.WalkDir(pkg, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() && path != pkg {
				if err == nil {
					err = fs.SkipDir
				}
				return err
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, name := range selectors(f) {
				if slices.Contains([]string{"time.Now", "time.Since", "time.Sleep", "time.After", "time.AfterFunc", "time.NewTimer"}, name) {
					t.Errorf("%s uses %s: a pure package must get the time as an argument", path, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// selectors returns all expressions of the form x.Name in a file, where x is an identifier.
func selectors(f *ast.File) (all []string) {
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := s.X.(*ast.Ident); ok {
				all = append(all, x.Name+"."+s.Sel.Name)
			}
		}
		return true
	})
	return all
}
