package nginx

// State tells how far winglb supports a directive.
type State string

// States of a directive.
const (
	Carried      State = "carried"
	Approximated State = "approximated"
	NotCarried   State = "not carried"
)

// rule describes a directive: the contexts in which it is allowed, its arguments, and the state that is reported
// unless the importer handles it specially.
type rule struct {
	contexts string // contexts, separated by spaces: main events http upstream server location if
	min, max int    // arguments; max -1: any number
	block    bool
	state    State
	note     string // why it is not supported or what differs, and what to do
}

// Contexts and notes that several rules share.
const (
	anyHTTP         = "http server location"
	noteLogs        = "winglb has logs and figures of its own: see docs/on-call.md"
	noteStaticFiles = "winglb serves no files: leave a server that does in front, or make it a pool"
	noteListener    = "it belongs to the listener, not to routes: set it where winglb listens"
	noteNotYet      = "the plain HTTP front does not have it yet: docs/ROADMAP.md"
)

// rules lists the known directives; the importer and the table in docs/import-nginx.md both use it. Others are
// reported as not carried.
var rules = map[string]rule{
	"http":     {"main", 0, 0, true, Carried, ""},
	"events":   {"main", 0, 0, true, NotCarried, "winglb sizes itself by [limits]"},
	"server":   {"http upstream", 0, -1, true, Carried, ""}, // without a block in an upstream
	"location": {"server location", 1, 2, true, Carried, ""},
	"upstream": {"http", 1, 1, true, Carried, ""},
	"if":       {"server location", 1, -1, true, Carried, "only return, rewrite, set and break have an exact meaning in it"},

	"listen":                        {"server", 1, -1, false, Carried, "options of the socket are not carried"},
	"server_name":                   {"server", 1, -1, false, Carried, ""},
	"merge_slashes":                 {"http server", 1, 1, false, Carried, ""},
	"proxy_pass":                    {"location if", 1, 1, false, Carried, ""},
	"return":                        {"server location if", 1, 2, false, Carried, ""},
	"rewrite":                       {"server location if", 2, 3, false, Carried, ""},
	"set":                           {"server location if", 2, 2, false, Carried, ""},
	"break":                         {"server location if", 0, 0, false, Carried, ""},
	"map":                           {"http", 2, 2, true, Carried, ""},
	"split_clients":                 {"http", 2, 2, true, Carried, ""},
	"geo":                           {"http", 1, 2, true, Carried, "by the client's own address"},
	"try_files":                     {"server location", 2, -1, false, Approximated, "winglb has no files, so none is found: the last one, a name or =code, is what happens"},
	"ip_hash":                       {"upstream", 0, 0, false, Carried, ""},
	"hash":                          {"upstream", 1, 2, false, Carried, ""},
	"least_conn":                    {"upstream", 0, 0, false, Carried, ""},
	"random":                        {"upstream", 0, 2, false, Carried, ""},
	"keepalive":                     {"upstream", 1, 1, false, Approximated, "winglb bounds its connections by [limits] and retires idle ones by what it learns"},
	"zone":                          {"upstream", 1, 2, false, Approximated, "one process holds a pool's state: there is nothing to share"},
	"keepalive_timeout":             {anyHTTP + " upstream", 1, 2, false, NotCarried, noteListener},
	"keepalive_requests":            {anyHTTP + " upstream", 1, 1, false, NotCarried, noteListener},
	"proxy_set_header":              {anyHTTP, 2, 2, false, Carried, ""},
	"proxy_http_version":            {anyHTTP, 1, 1, false, Approximated, "winglb speaks HTTP/1.1 to servers"},
	"proxy_connect_timeout":         {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_read_timeout":            {anyHTTP, 1, 1, false, Approximated, "the whole answer must have come within it, all attempts together; nginx counts from read to read"},
	"proxy_send_timeout":            {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_next_upstream":           {anyHTTP, 1, -1, false, Carried, "error and timeout always, unless off; non_idempotent; what else it names is approximated"},
	"proxy_next_upstream_tries":     {anyHTTP, 1, 1, false, Carried, "three at most"},
	"proxy_next_upstream_timeout":   {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_buffering":               {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_buffers":                 {anyHTTP, 2, 2, false, NotCarried, noteNotYet},
	"proxy_buffer_size":             {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_redirect":                {anyHTTP, 1, 2, false, NotCarried, noteNotYet},
	"proxy_hide_header":             {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_pass_header":             {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_ssl_verify":              {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_ssl_name":                {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_ssl_server_name":         {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_ssl_certificate":         {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_ssl_certificate_key":     {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"proxy_ssl_trusted_certificate": {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"client_max_body_size":          {anyHTTP, 1, 1, false, NotCarried, noteNotYet},
	"limit_req_dry_run":             {anyHTTP, 1, 1, false, Carried, ""},
	"limit_req":                     {anyHTTP, 1, 3, false, Carried, ""},
	"limit_req_zone":                {"http", 3, 4, false, Carried, ""},
	"limit_conn":                    {anyHTTP, 2, 2, false, Carried, ""},
	"limit_conn_zone":               {"http", 2, 2, false, Carried, ""},
	"error_page":                    {anyHTTP + " if", 2, -1, false, NotCarried, noteNotYet},
	"add_header":                    {anyHTTP + " if", 2, 3, false, NotCarried, noteNotYet},
	"ssl_certificate":               {"http server", 1, 1, false, NotCarried, noteListener},
	"ssl_certificate_key":           {"http server", 1, 1, false, NotCarried, noteListener},
	"ssl_protocols":                 {"http server", 1, -1, false, NotCarried, noteListener},
	"ssl_ciphers":                   {"http server", 1, 1, false, NotCarried, noteListener},
	"gzip":                          {anyHTTP + " if", 1, 1, false, NotCarried, "winglb passes bodies as they are"},
	"root":                          {anyHTTP + " if", 1, 1, false, NotCarried, noteStaticFiles},
	"alias":                         {"location", 1, 1, false, NotCarried, noteStaticFiles},
	"index":                         {anyHTTP, 1, -1, false, NotCarried, noteStaticFiles},
	"autoindex":                     {anyHTTP, 1, 1, false, NotCarried, noteStaticFiles},
	"expires":                       {anyHTTP + " if", 1, 2, false, NotCarried, noteStaticFiles},
	"access_log":                    {anyHTTP + " if", 1, -1, false, NotCarried, noteLogs},
	"error_log":                     {"main " + anyHTTP, 1, 2, false, NotCarried, noteLogs},
	"log_format":                    {"http", 2, -1, false, NotCarried, noteLogs},
	"worker_processes":              {"main", 1, 1, false, NotCarried, "winglb sizes itself by [limits]"},
	"worker_connections":            {"events", 1, 1, false, NotCarried, "winglb sizes itself by [limits]"},
	"user":                          {"main", 1, 2, false, NotCarried, "whoever starts winglb chooses"},
	"pid":                           {"main", 1, 1, false, NotCarried, "whoever starts winglb keeps it"},
	"sendfile":                      {anyHTTP + " if", 1, 1, false, NotCarried, noteStaticFiles},
	"tcp_nopush":                    {anyHTTP, 1, 1, false, NotCarried, noteStaticFiles},
	"types":                         {anyHTTP, 0, 0, true, NotCarried, noteStaticFiles},
	"default_type":                  {anyHTTP, 1, 1, false, NotCarried, noteStaticFiles},
	"resolver":                      {anyHTTP + " upstream", 1, -1, false, NotCarried, "names are looked up by the system"},
}
