package field

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a log field whose name is not defined in this package, which would
// allow two names for the same field.
func TestFieldNamesAreConstants(t *testing.T) {
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			selector, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, ok := selector.X.(*ast.Ident)
			_, literal := call.Args[0].(*ast.BasicLit)
			if ok && literal && pkg.Name == "zap" {
				t.Errorf("%s: the field name is a literal instead of a constant of package field", files.Position(call.Pos()))
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
}
