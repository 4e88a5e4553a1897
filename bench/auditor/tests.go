package auditor

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("auditor")

// Workspace finds the folder of go.work, from a folder upwards. It fails where
// there is none up to the root.
func Workspace(folder string) (string, error) {
	at, err := filepath.Abs(folder)
	if err != nil {
		return "", Error.Wrap(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(at, "go.work")); err == nil {
			return at, nil
		}
		above := filepath.Dir(at)
		if above == at {
			return "", Error.New("no go.work above %s", folder)
		}
		at = above
	}
}

// Tests lists the tests and fuzz targets below a folder, as folder.Test, where
// folder is the last element of the path of the test's package. A test that
// skips itself is left out: go test passes it although it shows nothing. It
// fails where a file can't be read or parsed.
func Tests(root string) (map[string]bool, error) {
	tests := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, "_test.go"):
			return nil
		}
		return list(path, tests)
	})
	return tests, Error.Wrap(err)
}

// list adds the tests of one file.
func list(path string, tests map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	folder := filepath.Base(filepath.Dir(path))
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if ok && f.Recv == nil && runs(f) {
			tests[folder+"."+f.Name.Name] = true
		}
	}
	return nil
}

// runs says whether go test calls a function and it does not skip itself.
func runs(f *ast.FuncDecl) bool {
	name := f.Name.Name
	if name == "TestMain" || !strings.HasPrefix(name, "Test") && !strings.HasPrefix(name, "Fuzz") {
		return false
	}
	skips := false
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			skips = skips || s.Sel.Name == "Skip" || s.Sel.Name == "SkipNow" || s.Sel.Name == "Skipf"
		}
		return true
	})
	return !skips
}
