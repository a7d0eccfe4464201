package nginx

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/routes"
	"caperrelay/internal/standin/nginxmeaning"
)

// memoryFiles holds the files of a test.
type memoryFiles struct{ fstest.MapFS }

func (m memoryFiles) Read(path string) ([]byte, error) { return fs.ReadFile(m.MapFS, path) }
func (m memoryFiles) Glob(pattern string) (names []string, err error) {
	return fs.Glob(m.MapFS, pattern)
}

// files returns files from pairs of name and text.
func files(pairs ...string) memoryFiles {
	m := memoryFiles{fstest.MapFS{}}
	for i := 0; i < len(pairs); i += 2 {
		m.MapFS[pairs[i]] = &fstest.MapFile{Data: []byte(pairs[i+1])}
	}
	return m
}

// importText parses and imports one file.
func importText(text string) (*routes.Table, *Report, error) {
	all, err := Parse(files("nginx.conf", text), "nginx.conf")
	if err != nil {
		return nil, nil, err
	}
	c, report, err := Import(all)
	if err != nil {
		return nil, nil, err
	}
	t, err := routes.Compile(c)
	return t, report, err
}

// For random files and targets the imported routes select the same location as the reference model, and forward the
// URI that the documentation of proxy_pass specifies.
func TestLocationsMatchReferenceModel(t *testing.T) {
	r := rand.New(rand.NewPCG(20261201, 1))
	redirects, passes, answered := 0, 0, 0
	for n := range 400 {
		all := nginxmeaning.Draw(r)
		file := nginxmeaning.File(all)
		table, _, err := importText(file)
		require.NoError(t, err, "%s", file)
		for range 150 {
			raw := nginxmeaning.Target(r)
			args := []string{"", "", "?k=v", "?a/../b"}[r.IntN(4)]
			d := table.Decide(routes.Request{Listen: "127.0.0.1:80", Host: "x", Method: "GET", Target: raw + args, Remote: "127.0.0.1"})
			path, ok := nginxmeaning.Decoded(raw)
			if !ok {
				require.Equal(t, 400, d.Status, "%s", raw)
				continue
			}
			want, redirect, _ := nginxmeaning.Chosen(all, path)
			at := fmt.Sprintf("file %d, %s%s (%s)\n%s\n%v", n, raw, args, path, file, d.Trace)
			if want == nil {
				require.Equal(t, 404, d.Status, at)
				continue
			}
			require.Equal(t, want.Name(), d.Location, at)
			switch {
			case redirect:
				redirects++
				require.Equal(t, 301, d.Status, at)
				require.Equal(t, nginxmeaning.Escaped(path)+"/"+args, d.Text, at)
			case want.Pass == "":
				answered++
				require.Equal(t, 204, d.Status, at)
			default:
				passes++
				pool, uri := nginxmeaning.Upstream(want, raw, path, args)
				require.Equal(t, []string{pool, uri}, []string{d.Pool, d.URI}, at)
			}
		}
	}
	t.Logf("%d forwarded, %d redirected, %d answered without a pool", passes, redirects, answered)
	require.Greater(t, min(passes, redirects, answered), 500)
}
