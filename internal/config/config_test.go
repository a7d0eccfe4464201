package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validConfig = `{"name":"n3","listen":"10.0.0.4:8000","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},
"known":{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"h:1","phase":"in_service"}]},
"settings":{"Balancers":2,"Permissions":{"AttemptsCap":3},"RequestClasses":[{"Name":"preview","Effect":"free","DeadlineUs":5000000}],"Tenants":[{"Name":"acme"}]}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	file := t.TempDir() + "/config.json"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return Load(func(name string) string {
		if name == "PROXY_CONFIG" {
			return file
		}
		return env[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, validConfig, map[string]string{"PROXY_LISTEN": "127.0.0.9:1"})
	require.NoError(t, err)
	require.Equal(t, []any{"n3", "127.0.0.9:1", "10.2.0.1:8500", uint64(0x8c1f30d27a5be964)},
		[]any{c.Name, c.Listen, c.Discovery, c.Settings.Seed})
	require.Equal(t, Limits{1, 2048, 4096}, c.Limits)
	require.Equal(t, []string{"preview"}, c.Names.Classes)
	require.Len(t, c.Known.Instances, 1)
	require.Empty(t, c.Admin, "older configurations have no admin_addr")
	require.Equal(t, []time.Duration{defaultConnect, defaultIdle}, []time.Duration{c.Settings.Limits.ConnectTimeout, c.Settings.Limits.ConnIdle})
	c, err = load(t, strings.Replace(validConfig, `"limits"`, `"other"`, 1), nil)
	require.NoError(t, err)
	require.Equal(t, Limits{1, defaultMemoryMB, defaultSockets}, c.Limits)
}

func TestErrorsNameTheInvalidKey(t *testing.T) {
	_, err := Load(func(string) string { return "" })
	require.ErrorContains(t, err, "PROXY_CONFIG")
	for _, tt := range []struct{ from, to, key string }{
		{`"n3"`, `""`, "name"}, {`"n3"`, `"n3","admin_addr":"x"`, "admin_addr"}, {`10.0.0.4:8000`, `10.0.0.4`, "listen"}, {`10.2.0.1:8500`, ``, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"}, {`8c1f30d27a5be964`, ``, "seed"}, {`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`2048`, `1`, "limits.memory_mb"}, {`4096`, `3`, "limits.sockets"}, {`4096`, `"many"`, "sockets"},
		{`"in_service"`, `"asleep"`, "known"}, {`"free"`, `"odd"`, "settings"}, {`"settings"`, `"other"`, "settings"},
		{`{"name"`, `"name"`, "PROXY_CONFIG"},
	} {
		_, err := load(t, strings.Replace(validConfig, tt.from, tt.to, 1), nil)
		require.ErrorContains(t, err, tt.key, tt.to)
		require.NotContains(t, err.Error(), "\n")
	}
}

// On a reload the file's discovery address overrides the variable, which still holds that of the start. Keys that take
// effect only at the next start are listed. A file that lacks a key or has an invalid value is rejected.
func TestReload(t *testing.T) {
	file := t.TempDir() + "/config.json"
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(validConfig)
	env := map[string]string{"PROXY_CONFIG": file, "PROXY_DISCOVERY": "10.2.0.9:1", "PROXY_LISTEN": "127.0.0.9:1"}
	c, err := Load(func(name string) string { return env[name] })
	require.NoError(t, err)
	require.Equal(t, "10.2.0.9:1", c.Discovery)
	write(strings.Replace(strings.Replace(validConfig, "8c1f", "8c20", 1), "2048", "64", 1))
	next, err := c.Reload()
	require.NoError(t, err)
	require.Equal(t, []any{"10.2.0.1:8500", "127.0.0.9:1"}, []any{next.Discovery, next.Listen})
	require.Equal(t, []string{"limits"}, c.KeysChangedAtRestart(next))
	for from, to := range map[string]string{
		validConfig: "", `}]}}`: `}]}`, `"Tenants":[{"Name":"acme"}]`: `"Tenants":[]`, // an empty list is valid
		`"discovery":"10.2.0.1:8500",`: ``, `"seed":"8c1f30d27a5be964",`: ``, `"Balancers":2,`: ``, `"cores":1.0,`: ``,
		`"Name":"preview",`: ``, `,"DeadlineUs":5000000`: ``, `5000000`: `-1`, `"AttemptsCap":3`: `"AttemptsCap":0`,
		`"AttemptsCap":`: `"AttemptsCap":-`, `{"AttemptsCap":3}`: `{}`, `:3}`: `:"3"}`, `{"Name":"acme"}`: `{}`,
		`[{"Name":"preview","Effect":"free","DeadlineUs":5000000}]`: `[]`, `"Effect":"free"`: `"Effect":"none"`,
	} {
		text := strings.Replace(validConfig, from, to, 1)
		write(text)
		_, err = c.Reload()
		valid := text == validConfig || to == `"Tenants":[]`
		require.Equal(t, valid, err == nil, "%s for %s: %v", to, from, err)
	}
	write(strings.Replace(validConfig, `"Tenants":[{"Name":"acme"}]`, `"Tenants":[{"Name":"acme","QuotaPerS":5}]`, 1))
	next, err = c.Reload()
	require.NoError(t, err)
	c.SetInForce(next)
	write(validConfig)
	_, err = c.Reload()
	require.ErrorContains(t, err, "settings.Tenants[0].QuotaPerS: missing", "it is compared with the configuration in force")
}
