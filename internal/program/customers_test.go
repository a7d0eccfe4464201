package program

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// customers returns the customers' settings documents in testdata, by the customer's name.
func customers(t *testing.T) map[string]object {
	files, err := filepath.Glob("testdata/customers/*.json")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 3)
	all := map[string]object{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		var settings object
		require.NoError(t, json.Unmarshal(text, &settings), file)
		all[strings.TrimSuffix(filepath.Base(file), ".json")] = settings
	}
	return all
}

// namesOf lists the names in a settings document: its classes, tenants, zones and kinds of encoder.
func namesOf(settings object) (names []string) {
	for _, key := range []string{"RequestClasses", "Tenants"} {
		for _, element := range settings[key].([]any) {
			names = append(names, element.(map[string]any)["Name"].(string))
		}
	}
	for _, key := range []string{"Zones", "Skus"} {
		for _, element := range settings[key].([]any) {
			names = append(names, element.(string))
		}
	}
	return names
}

// namedInSites lists the value of each name key of deploy/sites/*.toml, if the repository has any.
func namedInSites(t *testing.T, root string) (names []string) {
	files, err := filepath.Glob(filepath.Join(root, "deploy/sites/*.toml"))
	require.NoError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, found := range regexp.MustCompile(`(?m)^\s*name\s*=\s*"(.*?)"`).FindAllSubmatch(text, -1) {
			names = append(names, string(found[1]))
		}
	}
	return names
}

// goFiles lists the repository's Go files except tests.
func goFiles(t *testing.T, root string) (files []string) {
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == "testdata" || entry.Name() == "journal" || entry.Name() == ".git"):
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			files = append(files, path)
		}
		return nil
	}))
	return files
}

// deployedFiles lists the source files of winglb and wirehost and of their dependencies in this module.
func deployedFiles(t *testing.T, root string) (files []string) {
	list := exec.Command("go", "list", "-deps", "-f", `{{if .Module}}{{if .Module.Main}}{{$dir := .Dir}}{{range .GoFiles}}{{$dir}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`,
		"./cmd/winglb", "./cmd/wirehost")
	list.Dir = root
	out, err := list.Output()
	require.NoError(t, err)
	return strings.Fields(string(out))
}

// words splits a text at all characters that no name contains.
func words(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool {
		return r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
}

// literals returns the values of a Go file's string literals.
func literals(t *testing.T, file string) (all []string) {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	require.NoError(t, err)
	ast.Inspect(parsed, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			require.NoError(t, err)
			all = append(all, text)
		}
		return true
	})
	return all
}

// The program runs for any customer, and nothing in it may be tailored to one: no class, tenant, zone or kind that
// a settings document names may appear in the code. A name that is also an ordinary word may appear in comments
// and sentences, but not as a whole string literal in deployed code.
func TestNoCustomerNamesInCode(t *testing.T) {
	const root = "../.."
	uniqueNames, ordinaryWords := map[string]bool{}, map[string]bool{}
	add := func(names ...string) {
		for _, name := range names {
			name = strings.ToLower(name)
			if ordinary := !strings.ContainsAny(name, "-_0123456789"); ordinary {
				ordinaryWords[name] = true
			} else {
				uniqueNames[name] = true
			}
		}
	}
	for customer, settings := range customers(t) {
		add(customer)
		add(namesOf(settings)...)
	}
	add(namedInSites(t, root)...)
	require.Greater(t, len(uniqueNames), 50)
	require.NotEmpty(t, ordinaryWords)

	files := goFiles(t, root)
	require.Greater(t, len(files), 100)
	for _, file := range append(files, root+"/deploy/balancer.toml") {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, word := range words(string(bytes.ToLower(text))) {
			require.False(t, uniqueNames[word], "%s has %q, a name of one customer", file, word)
		}
	}
	deployed := deployedFiles(t, root)
	require.True(t, slices.ContainsFunc(deployed, func(file string) bool { return strings.HasSuffix(file, "/decide/decide.go") }))
	for _, file := range deployed {
		for _, literal := range literals(t, file) {
			require.False(t, ordinaryWords[strings.ToLower(literal)], "%s has %q, a name of one customer", file, literal)
		}
	}
}
