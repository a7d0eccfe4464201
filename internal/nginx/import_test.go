package nginx

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"caperrelay/internal/routes"
)

const upstreamText = "upstream p { server 127.0.0.1:1; }\n"

// Each file that nginx would reject gives a one-line error with file and line.
func TestInvalidFiles(t *testing.T) {
	in := func(s string) string { return "server {\n" + s + "\n}" }
	loc := func(s string) string { return in("location / {\n" + s + "\n}") }
	for _, c := range []struct {
		text string
		line int
		want string
	}{
		{"server {", 1, `ends before the "}"`},
		{"server {\nlisten 80;\n", 3, `ends before the "}"`},
		{"}", 1, `unmatched "}"`},
		{"server { } }", 1, `unmatched "}"`},
		{"upstream p { server a:1 }", 1, `not ended by ";"`},
		{"server", 1, `not ended by ";"`},
		{"{ }", 1, `unexpected "{"`},
		{";", 1, `unexpected ";"`},
		{in(`server_name "x;`), 2, "unterminated quoted string"},
		{in(`server_name 'x;`), 2, "unterminated quoted string"},
		{in(`server_name "x"y;`), 2, "after a quoted string"},
		{"server {\nreturn 200 ${x;", 2, `unterminated "${"`},
		{"include;", 1, "include needs one path"},
		{"include a b;", 1, "include needs one path"},
		{"include nowhere.conf;", 1, "include:"},
		{"include nginx.conf;", 1, "includes itself"},
		{"location / { }", 1, `"location" directive is not allowed here`},
		{"http { location / { } }", 1, `"location" directive is not allowed here`},
		{"events { } server { }", 1, `"server" directive is not allowed here`},
		{"http { http { } }", 1, `"http" directive is not allowed here`},
		{"upstream p { location / { } }", 1, "not allowed here"},
		{"upstream p { listen 80; server a:1; }", 1, "not allowed here"},
		{in("server { }"), 2, "not allowed here"},
		{in("upstream q { server a:1; }"), 2, "not allowed here"},
		{in("proxy_pass http://p;"), 2, "not allowed here"},
		{loc("listen 80;"), 3, "not allowed here"},
		{loc("map $a $b { }"), 3, "not allowed here"},
		{in("listen;"), 2, "invalid number of arguments"},
		{in("listen 0;"), 2, "invalid port"},
		{in("listen a:b;"), 2, "invalid port"},
		{in("listen 99999;"), 2, "invalid port"},
		{"upstream { server a:1; }", 1, "invalid number of arguments"},
		{"upstream p { }", 1, "no servers are inside upstream"},
		{"upstream p { server a:1; } upstream p { server b:1; }", 1, "duplicate upstream"},
		{"upstream p { server a:1 weight=0; }", 1, "weight"},
		{"upstream p { server a:1 weight=x; }", 1, "weight"},
		{"upstream p { server a:1 max_conns=-1; }", 1, "max_conns"},
		{"upstream p { server a:1 max_fails=many; }", 1, "max_fails"},
		{"upstream p { server a:1 fast; }", 1, `invalid parameter "fast"`},
		{"upstream p { ip_hash; server a:1; server b:1 backup; }", 1, "does not support"},
		{"upstream p { hash $uri; server a:1; server b:1 backup; }", 1, "does not support"},
		{"upstream p { hash $uri steady; server a:1; }", 1, `invalid parameter "steady"`},
		{"upstream p { hash; server a:1; }", 1, "invalid number of arguments"},
		{"upstream p;", 1, `no opening "{"`},
		{in("listen 80 { }"), 2, `not terminated by ";"`},
		{in("location / { }\nlocation / { }"), 3, "duplicate location"},
		{in("location / { }\nlocation ^~ / { }"), 3, "duplicate location"},
		{in("location = /a { }\nlocation = /a { }"), 3, "duplicate location"},
		{in("location @a { }\nlocation @a { }"), 3, "duplicate location"},
		{in("location ! /a { }"), 2, "invalid location modifier"},
		{in("location = /a b { }"), 2, "invalid number of arguments"},
		{in("location { }"), 2, "invalid number of arguments"},
		{in("location /a { location /b { } }"), 2, "outside location"},
		{in("location /a { location @b { } }"), 2, "server level only"},
		{in("location = /a { location /a/b { } }"), 2, "cannot be inside the exact"},
		{loc("proxy_pass p;"), 3, "invalid URL prefix"},
		{loc("proxy_pass ftp://p;"), 3, "invalid URL prefix"},
		{loc("proxy_pass http://p; proxy_pass http://p;"), 3, "duplicate"},
		{in("location ~ a { proxy_pass http://p/b; }"), 2, "cannot have URI part"},
		{in("location @a { proxy_pass http://p/b; }"), 2, "cannot have URI part"},
		{loc("rewrite a;"), 3, "invalid number of arguments"},
		{loc("rewrite a b c d;"), 3, "invalid number of arguments"},
		{loc("rewrite a /b soon;"), 3, `no flag "soon"`},
		{loc("return;"), 3, "invalid number of arguments"},
		{loc("return x y;"), 3, "invalid return code"},
		{loc("return 2000;"), 3, "no code"},
		{loc("set a b;"), 3, "invalid variable name"},
		{loc("if $a { return 200; }"), 3, "invalid condition"},
		{loc("break now;"), 3, "invalid number of arguments"},
		{"map $a b { }", 1, "invalid variable name"},
		{"map $a $b { x; }", 1, "parameters"},
		{"map $a $b { x y z; }", 1, "parameters"},
		{"map $a $b { x { } }", 1, "unexpected block"},
		{"split_clients $a $b { 60% x; 60% y; }", 1, "split_clients"},
		{"geo $b { 300.0.0.0/8 x; }", 1, "geo"},
		{"limit_req_zone $a zone=z rate=1r/s;", 1, "invalid zone size"},
		{"limit_req_zone $a zone=z:1m rate=1;", 1, "invalid rate"},
		{"limit_req_zone $a zone=z:1m burst=1;", 1, "invalid parameter"},
		{"limit_conn_zone $a zone=z:1m rate=1r/s;", 1, "invalid number of arguments"},
		{loc("proxy_read_timeout soon;"), 3, "proxy_read_timeout"},
		{loc("proxy_next_upstream sometimes;"), 3, "invalid value"},
		{loc("proxy_next_upstream_tries x;"), 3, "invalid number"},
		{loc("limit_req zone=z;"), 3, "zero size shared memory zone"},
		{loc("limit_conn z 0;"), 3, "invalid number of connections"},
		{loc("limit_req zone=z burst=many;"), 3, "invalid parameter"},
	} {
		t.Run(c.text, func(t *testing.T) {
			_, _, err := importText(c.text)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.NotContains(t, err.Error(), "\n")
			require.Equal(t, "nginx.conf", e.File)
			require.Equal(t, c.line, e.Line, err.Error())
			require.ErrorContains(t, err, c.want)
		})
	}
	_, err := Parse(files("nginx.conf", "include a/*.conf;", "a/1.conf", "include a/2.conf;", "a/2.conf", "\ninclude a/1.conf;"), "nginx.conf")
	require.ErrorContains(t, err, "a/2.conf:2: a/1.conf includes itself, through nginx.conf > a/1.conf > a/2.conf > a/1.conf")
	_, _, err = importText(upstreamText + "server { listen 80 default_server; } server { listen 80 default_server; }")
	require.ErrorContains(t, err, "two default servers")
}

// Every directive of a file has a line in the report, including unknown ones and those in unsupported blocks.
func TestReportCoversAllDirectives(t *testing.T) {
	_, report, err := importText(`
worker_processes 4;
quic_bpf on;
events { worker_connections 10; use epoll; }
http {
  lua_shared_dict a 1m;
  upstream p { server a:1 resolve; server unix:/x; keepalive 3; sticky cookie x; }
  server {
    listen 80 reuseport;
    location / { proxy_pass http://p; some_module { inner 1; deeper { x; } } gzip on; if ($a) { gzip off; } }
    location ~ (?<!a)b { proxy_pass http://p; }
    rewrite (?=x) /y;
  }
}`)
	require.NoError(t, err)
	state := map[string]State{}
	for _, l := range report.Lines {
		require.NotZero(t, l.Line)
		if state[l.Directive] != NotCarried {
			state[l.Directive] = l.State
		}
		if l.State != Carried {
			require.NotEmpty(t, l.Note, l.Directive)
		}
	}
	for _, name := range strings.Fields("worker_processes quic_bpf events worker_connections use lua_shared_dict sticky some_module inner deeper x gzip if rewrite location server") {
		require.Equal(t, NotCarried, state[name], name)
	}
	require.Equal(t, Approximated, state["listen"])
	require.Equal(t, Approximated, state["keepalive"])
	require.Equal(t, Carried, state["proxy_pass"])
	require.Len(t, report.Lines, 26)
}

// Selection of server, location and pool, and the rewritten URI, case by case.
func TestImportedRouting(t *testing.T) {
	table, _, err := importText(`
upstream p { server 127.0.0.1:1; }
upstream q { server 127.0.0.1:2; }
map $http_x_quality $pool { default p; ~*^(hd|4k) q; low p; }
map $host $site { hostnames; default none; *.ec ecuador; .ups.ec ups; }
geo $near { default far; 10.0.0.0/8 campus; 10.9.0.0/16 lab; }
split_clients $remote_addr $half { 50% a; * b; }
server { listen 80; server_name first; location / { return 200 first; } }
server { listen 80 default_server; server_name ~^cdn(?<n>\d+)\.x$; location / { return 200 "n=$n $1"; } }
server { listen 80; server_name *.wild.x; location / { return 200 star; } }
server { listen 80; server_name www.*; location / { return 200 tail; } }
server { listen 80; server_name .dot.x; location / { return 200 dot; } }
server { listen 10.0.0.1:80; server_name first; location / { return 200 bound; } }
server {
  listen 81;
  server_name r;
  set $v one;
  rewrite ^/moved/(.*)$ /new/$1 permanent;
  rewrite ^/away$ https://other.x/y? redirect;
  location /a { proxy_pass http://p/b/; }
  location /c/ { proxy_pass http://p; }
  location /new/ { return 200 $uri; }
  location /last/ { rewrite ^/last/(.*)$ /c/$1?added=1 last; return 500; }
  location /brk/ { rewrite ^/brk/(.*)$ /deep/$1 break; proxy_pass http://p/ignored/; }
  location /loop/ { rewrite ^ /loop/x last; }
  location /var { proxy_pass http://$pool; }
  location /as/ { proxy_pass http://q$request_uri; }
  location /if { if ($request_method = POST) { return 405; } if ($arg_k !~ ^[0-9]+$) { return 400 bad; } proxy_pass http://p; }
  location /v { return 200 "$v $site $near $half $is_args$args"; }
  location /try { try_files $uri @app; }
  location /round { try_files $uri @a; }
  location @a { try_files $uri @b; }
  location @b { try_files $uri @a; }
  location /self { try_files $uri @self; }
  location @self { try_files $uri @self; }
  location /again { try_files $uri @again; }
  location @again { rewrite ^ /again last; }
  location @app { proxy_pass http://q; }
  location = /moved-here { return 301 /there; }
  location /url { return https://z.x/$arg_a; }
}`)
	require.NoError(t, err)
	headers := map[string]string{"X-Quality": "HD please"}
	for _, c := range []struct{ listen, host, method, target, want string }{
		{"1.1.1.1:80", "first", "GET", "/", "200 first"},
		{"1.1.1.1:80", "FIRST:80", "GET", "/", "200 first"},
		{"10.0.0.1:80", "first", "GET", "/", "200 bound"},
		{"10.0.0.1:80", "a.wild.x", "GET", "/", "200 bound"}, // the default of that address
		{"1.1.1.1:80", "nobody", "GET", "/", "200 n= "},
		{"1.1.1.1:80", "cdn42.x", "GET", "/", "200 n=42 42"},
		{"1.1.1.1:80", "a.b.wild.x", "GET", "/", "200 star"},
		{"1.1.1.1:80", "wild.x", "GET", "/", "200 n= "},
		{"1.1.1.1:80", "dot.x", "GET", "/", "200 dot"},
		{"1.1.1.1:80", "a.dot.x", "GET", "/", "200 dot"},
		{"1.1.1.1:80", "www.any.thing", "GET", "/", "200 tail"},
		{"1.1.1.1:82", "r", "GET", "/", "404 "},
		{":81", "r", "GET", "/a", "p /b/"},
		{":81", "r", "GET", "/a/x?y", "p /b//x?y"},
		{":81", "r", "GET", "/ab%20c", "p /b/b%20c"},
		{":81", "r", "GET", "/c/%2e%2e/c//x%2Fy?z", "p /c/%2e%2e/c//x%2Fy?z"},
		{":81", "r", "GET", "/c", "301 /c/"},
		{":81", "r", "GET", "/c?q", "301 /c/?q"},
		{":81", "r", "GET", "/moved/x?k", "301 /new/x?k"},
		{":81", "r", "GET", "/away?k", "302 https://other.x/y"},
		{":81", "r", "GET", "/last/m%20n?k", "p /c/m%20n?added=1&k"},
		{":81", "r", "GET", "/brk/x?k", "p /deep/x?k"},
		{":81", "r", "GET", "/loop/", "500 "},
		{":81", "r", "GET", "/var/1", "q /var/1"},
		{":81", "r", "GET", "/as/%41?b", "q /as/%41?b"},
		{":81", "r", "POST", "/if?k=1", "405 "},
		{":81", "r", "GET", "/if?k=x", "400 bad"},
		{":81", "r", "GET", "/if?k=12", "p /if?k=12"},
		{":81", "r", "GET", "/v?w", "200 one none lab b ?w"},
		{":81", "r", "GET", "/try/this", "q /try/this"},
		{":81", "r", "GET", "/round", "500 "}, // named locations that lead to each other must not go on for ever
		{":81", "r", "GET", "/self", "500 "},
		{":81", "r", "GET", "/again", "500 "},
		{":81", "r", "GET", "/moved-here", "301 /there"},
		{":81", "r", "GET", "/url?a=b", "302 https://z.x/b"},
		{":81", "r", "GET", "/..", "400 "},
		{":81", "r", "GET", "/%zz", "400 "},
		{":81", "r", "GET", "/a%00", "400 "},
		{":81", "r", "GET", "http://r/a/1", "p /b//1"},
		{":81", "r", "GET", "/none", "404 "},
	} {
		d := table.Decide(routes.Request{
			Listen: c.listen, Host: c.host, Method: c.method, Target: c.target, Remote: "10.9.1.1", Header: func(n string) string {
				for k, v := range headers {
					if strings.EqualFold(k, n) {
						return v
					}
				}
				return ""
			},
		})
		got := d.Pool + " " + d.URI
		if d.Pool == "" {
			got = itoa(d.Status) + " " + d.Text
		}
		require.Equal(t, c.want, got, "%s %s %s: %v", c.host, c.method, c.target, d.Trace)
	}
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// The routes of the sample file give the same decisions after they are written to TOML and read back.
func TestSampleRoundTripsThroughTOML(t *testing.T) {
	all, err := Parse(diskFiles("../../deploy/campus"), "nginx.conf")
	require.NoError(t, err)
	c, report, err := Import(all)
	require.NoError(t, err)
	require.Equal(t, 0, report.Count("")) // each has a state
	text, err := toml.Marshal(c)
	require.NoError(t, err)
	var again routes.Config
	require.NoError(t, toml.Unmarshal(text, &again))
	a, err := routes.Compile(c)
	require.NoError(t, err)
	b, err := routes.Compile(&again)
	require.NoError(t, err)
	for _, host := range []string{"www.campus.example", "x.campus.example", "media.campus.example", "other"} {
		for _, target := range []string{"/", "/health", "/api/a.mp4", "/api/b?c", "/api", "/static/x", "/render/ab/", "/old/x", "/beta", "/beta?key=1"} {
			q := routes.Request{Listen: ":80", Host: host, Method: "GET", Target: target, Remote: "10.1.1.1"}
			require.Equal(t, a.Decide(q), b.Decide(q), target)
		}
	}
}

// diskFiles reads files of the repository.
type diskFiles string

func (f diskFiles) Read(path string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(f), path))
}
func (f diskFiles) Glob(pattern string) ([]string, error) {
	return filepath.Glob(filepath.Join(string(f), pattern))
}

// No file text may make the importer panic, and no target the imported routes.
func FuzzImport(f *testing.F) {
	f.Add(upstreamText+"server { location / { proxy_pass http://p/a; } location ~ (a)(b) { return 200 $1; } }", "/a/b?c")
	f.Add("map $a $b { ~x$ 1; default 2; } server { if ($b = 1) { rewrite ^/(.*) /x/$1? break; } }", "//../%41")
	f.Add("upstream u { hash $uri consistent; server a weight=2; }", "/")
	f.Fuzz(func(t *testing.T, text, target string) {
		table, report, err := importText(text)
		if err != nil {
			return
		}
		for _, l := range report.Lines {
			if l.State == "" {
				t.Fatalf("%s has no state", l.Directive)
			}
		}
		table.Decide(routes.Request{Listen: ":80", Host: "x", Method: "GET", Target: target, Remote: "127.0.0.1"})
	})
}

// Blocks inherit headers, limits and retry settings unless they define their own of the kind.
func TestInheritance(t *testing.T) {
	table, _, err := importText(`
limit_req_zone $remote_addr zone=r:1m rate=30r/m;
limit_conn_zone $server_name zone=c:10k;
limit_req zone=r burst=5 delay=2;
proxy_set_header Host $host;
proxy_set_header X-A outer;
proxy_read_timeout 90;
proxy_next_upstream error timeout non_idempotent http_502;
proxy_next_upstream_tries 2;
server {
  listen 80;
  server_name s;
  limit_conn c 7;
  location / { proxy_pass http://a:1; }
  location /own { proxy_next_upstream off; proxy_set_header X-B inner; limit_req zone=r nodelay; limit_req_dry_run on; proxy_pass http://a:1; location /own/in { proxy_pass http://a:1; } }
}`)
	require.NoError(t, err)
	ask := func(target string) routes.Decision {
		return table.Decide(routes.Request{Listen: ":80", Host: "H", Method: "GET", Target: target, Remote: "10.0.0.1"})
	}
	d := ask("/")
	require.Equal(t, [][2]string{{"Host", "h"}, {"X-A", "outer"}}, d.Headers)
	require.Equal(t, 90*time.Second, d.Timeout)
	require.Equal(t, []any{2, true}, []any{d.Tries, d.RetryNonIdempotent})
	require.Equal(t, []routes.KeyedLimit{{Limit: routes.Limit{Zone: "r", Burst: 5, Delay: 2}, Key: "10.0.0.1"}, {Limit: routes.Limit{Zone: "c", MaxConcurrent: 7}, Key: "s"}}, d.Limits)
	for _, target := range []string{"/own", "/own/in"} {
		d = ask(target)
		require.Equal(t, [][2]string{{"X-B", "inner"}}, d.Headers)
		require.Equal(t, []any{1, false}, []any{d.Tries, d.RetryNonIdempotent})
		require.Equal(t, []routes.KeyedLimit{{Limit: routes.Limit{Zone: "r", NoDelay: true, DryRun: true}, Key: "10.0.0.1"}, {Limit: routes.Limit{Zone: "c", MaxConcurrent: 7}, Key: "s"}}, d.Limits)
	}
}

// Guards against decoded text of a target ending the request line to a server, which would read a further request: in
// each place where such text becomes part of a URI. Other text arrives as nginx sends it.
func TestDecodedTextStaysInRequestLine(t *testing.T) {
	table, _, err := importText(`
upstream p { server 127.0.0.1:1; }
map $uri $mapped { default $uri; }
server {
  listen 80;
  set $copy $uri;
  location /try/ { try_files $uri /app?q=$uri; }
  location = /app { proxy_pass http://p; }
  location /last/ { rewrite ^/last/([^!]*)$ /app?q=$1 last; }
  location /brk/ { rewrite ^/brk/(?<rest>[^!]*)$ /x/$rest?q=$rest break; proxy_pass http://p; }
  location /set/ { try_files $uri /app?q=$copy; }
  location /map/ { try_files $uri /app?q=$mapped; }
  location /uri/ { proxy_pass http://p$uri; }
  location /args/ { proxy_pass http://p/in?$args&u=$document_uri; }
  location ~ ^/group/([^!]*)$ { proxy_pass http://p/$1; }
  location /prefix/ { proxy_pass http://p/b/; }
  location /pool/ { proxy_pass http://$copy; }
}`)
	require.NoError(t, err)
	decide := func(target string) routes.Decision {
		return table.Decide(routes.Request{Listen: ":80", Host: "x", Method: "GET", Target: target, Remote: "10.0.0.1", Header: func(string) string { return "" }})
	}
	const attack = "a%20HTTP/1.1%0D%0AHost:%20p%0D%0A%0D%0AGET%20/b%7F"
	for _, c := range [][2]string{
		{"/try/" + attack, "/app?q=/try/" + attack},
		{"/last/" + attack, "/app?q=" + attack},
		{"/brk/" + attack, "/x/" + attack + "?q=" + attack},
		{"/set/" + attack, "/app?q=/set/" + attack},
		{"/map/" + attack, "/app?q=/map/" + attack},
		{"/uri/" + attack, "/uri/" + attack},
		{"/args/" + attack, "/in?&u=/args/" + attack},
		{"/group/" + attack, "/" + attack},
		{"/prefix/" + attack, "/b/" + attack},
		{"/try/course/7", "/app?q=/try/course/7"},
		{"/try/ecuaci%C3%B3n%2B%2520%23%3F&", "/app?q=/try/ecuación+%20#?&"},
		{"/uri/ecuaci%C3%B3n?x", "/uri/ecuación"},
		{"/args/x?a=%20b", "/in?a=%20b&u=/args/x"},
	} {
		d := decide(c[0])
		require.Equal(t, "p", d.Pool, c[0])
		require.Equal(t, c[1], d.URI, c[0])
	}
	require.NotEqual(t, "p", decide("/pool/"+attack).Pool, "decoded text names no pool")
}
