package nginx

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The table in the documentation must match the importer's list of directives. Run with WINGLB_WRITE_DOCS=1 to
// update the page.
func TestDocumentationTable(t *testing.T) {
	const page, begin, end = "../../docs/import-nginx.md", "<!-- directives -->\n", "<!-- end -->\n"
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(text), begin)
	require.True(t, ok)
	table, after, ok := strings.Cut(rest, end)
	require.True(t, ok)
	if os.Getenv("WINGLB_WRITE_DOCS") != "" {
		require.NoError(t, os.WriteFile(page, []byte(before+begin+Table()+end+after), 0o644))
		return
	}
	require.Equal(t, Table(), table)
}
