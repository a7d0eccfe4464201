package keys

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/standin/authority"
)

// issueCredentials issues and loads keys of a name.
func issueCredentials(t *testing.T, a *authority.Authority, name string, names ...string) *Credentials {
	cert, key, err := a.Issue(name, time.Now().Add(time.Hour))
	require.NoError(t, err)
	p, err := Load(Files{cert, key, a.CA, names})
	require.NoError(t, err)
	return p
}

// handshake has a client and a server shake hands and exchange a byte.
func handshake(t *testing.T, server, client *tls.Config) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	a, err := l.Accept()
	require.NoError(t, err)
	defer a.Close()
	defer b.Close()
	for _, c := range []net.Conn{a, b} {
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	}
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server)
		_, err := s.Write([]byte{1})
		done <- err
		a.Close()
	}()
	_, err = tls.Client(b, client).Read(make([]byte, 1))
	b.Close()
	if e := <-done; e != nil {
		return e
	}
	return err
}

// Only a client of the authority with one of the names gets in, and only to the server that it meant.
func TestMutualAuthentication(t *testing.T) {
	dir := t.TempDir()
	ours, err := authority.New(dir, "ours")
	require.NoError(t, err)
	theirs, err := authority.New(t.TempDir(), "theirs")
	require.NoError(t, err)
	server := issueCredentials(t, ours, "daemon", "portal").Server()
	portal := issueCredentials(t, ours, "portal")
	require.NoError(t, handshake(t, server, portal.Client("daemon")))
	require.Error(t, handshake(t, server, portal.Client("another")), "the server bears another name")
	require.Error(t, handshake(t, server, issueCredentials(t, ours, "guest").Client("daemon")), "a name that may not come in")
	require.Error(t, handshake(t, server, issueCredentials(t, theirs, "portal").Client("daemon")), "another authority's")
	bare := portal.Client("daemon")
	bare.GetClientCertificate = nil
	require.Error(t, handshake(t, server, bare), "no certificate")
	require.Error(t, handshake(t, issueCredentials(t, theirs, "daemon", "portal").Server(), portal.Client("daemon")), "a server of another authority")
}

// Files that change are taken up; faulty ones change nothing and are told of.
func TestReloadOfChangedFiles(t *testing.T) {
	a, err := authority.New(t.TempDir(), "ours")
	require.NoError(t, err)
	p := issueCredentials(t, a, "daemon", "portal")
	first, _ := p.current()
	_, key, err := a.Issue("daemon", time.Now().Add(2*time.Hour))
	require.NoError(t, err)
	p.checkedAt = time.Time{}
	second, _ := p.current()
	require.NotEqual(t, first.Leaf.SerialNumber, second.Leaf.SerialNumber)
	require.NoError(t, os.WriteFile(key, []byte("no key"), 0o600))
	p.checkedAt = time.Time{}
	third, _ := p.current()
	require.Equal(t, second, third)
	require.ErrorContains(t, p.Fault(), "daemon.key")
	cert, key, err := a.Issue("old", time.Now().Add(-time.Minute))
	require.NoError(t, err)
	_, err = Load(Files{cert, key, a.CA, nil})
	require.ErrorContains(t, err, "it ended on")
}
