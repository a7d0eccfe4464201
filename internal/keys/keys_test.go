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

// issueCredentials issues a certificate for name and loads it.
func issueCredentials(t *testing.T, ca *authority.Authority, name string, names ...string) *Credentials {
	cert, key, err := ca.Issue(name, time.Now().Add(time.Hour))
	require.NoError(t, err)
	creds, err := Load(Files{cert, key, ca.CA, names})
	require.NoError(t, err)
	return creds
}

// handshake connects a client to a server, which sends it one byte, and returns the first error.
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

// Only a client with a certificate of the CA and an accepted name can connect, and only to the server that it
// expects.
func TestMutualAuthentication(t *testing.T) {
	caDir := t.TempDir()
	ca, err := authority.New(caDir, "ours")
	require.NoError(t, err)
	otherCA, err := authority.New(t.TempDir(), "theirs")
	require.NoError(t, err)
	server := issueCredentials(t, ca, "daemon", "portal").ServerConfig()
	portal := issueCredentials(t, ca, "portal")
	require.NoError(t, handshake(t, server, portal.ClientConfig("daemon")))
	require.Error(t, handshake(t, server, portal.ClientConfig("another")), "the server's certificate has another name")
	require.Error(t, handshake(t, server, issueCredentials(t, ca, "guest").ClientConfig("daemon")), "a client name that is not accepted")
	require.Error(t, handshake(t, server, issueCredentials(t, otherCA, "portal").ClientConfig("daemon")), "a client certificate of another CA")
	noCert := portal.ClientConfig("daemon")
	noCert.GetClientCertificate = nil
	require.Error(t, handshake(t, server, noCert), "no client certificate")
	require.Error(t, handshake(t, issueCredentials(t, otherCA, "daemon", "portal").ServerConfig(), portal.ClientConfig("daemon")), "a server certificate of another CA")
}

// Changed files are reloaded; with invalid ones the previous certificate stays in use, and the error is reported.
func TestReloadOfChangedFiles(t *testing.T) {
	ca, err := authority.New(t.TempDir(), "ours")
	require.NoError(t, err)
	creds := issueCredentials(t, ca, "daemon", "portal")
	first, _ := creds.current()
	_, key, err := ca.Issue("daemon", time.Now().Add(2*time.Hour))
	require.NoError(t, err)
	creds.checkedAt = time.Time{}
	second, _ := creds.current()
	require.NotEqual(t, first.Leaf.SerialNumber, second.Leaf.SerialNumber)
	require.NoError(t, os.WriteFile(key, []byte("no key"), 0o600))
	creds.checkedAt = time.Time{}
	third, _ := creds.current()
	require.Equal(t, second, third)
	require.ErrorContains(t, creds.ReloadError(), "daemon.key")
	cert, key, err := ca.Issue("old", time.Now().Add(-time.Minute))
	require.NoError(t, err)
	_, err = Load(Files{cert, key, ca.CA, nil})
	require.ErrorContains(t, err, "the certificate expired on")
}
