package nginx

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Table returns the directives and their states as a Markdown table, which docs/import-nginx.md contains.
func Table() string {
	var b strings.Builder
	b.WriteString("| directive | in | state | what differs, or what to do |\n| --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(rules)) {
		r := rules[name]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, strings.ReplaceAll(r.contexts, " ", ", "), r.state, r.note)
	}
	return b.String()
}
