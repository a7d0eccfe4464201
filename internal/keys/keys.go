// Package keys loads and validates the certificates and keys of TLS listeners and clients, and reloads files that
// change while the program runs.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// Files holds the paths of PEM files and the names that are accepted.
type Files struct {
	Certificate, Key string
	CA               string   // that issues the peer's certificate
	AcceptedNames    []string // accepted in a client's certificate; used by servers only
}

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = time.Second

// Credentials are a certificate and the roots that the peer is verified with. They may be used by several
// goroutines at once.
type Credentials struct {
	files Files

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]string
	cert      *tls.Certificate
	roots     *x509.CertPool
	reloadErr error // why changed files cannot be used; the previous ones stay in use
}

// Load reads and validates the files.
func Load(f Files) (*Credentials, error) {
	c := &Credentials{files: f}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.stamps, c.checkedAt = c.fileStamps(), time.Now()
	return c, nil
}

func (c *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fmt.Errorf("%s with %s: %w", c.files.Certificate, c.files.Key, err)
	}
	if cert.Leaf == nil {
		if cert.Leaf, err = x509.ParseCertificate(cert.Certificate[0]); err != nil {
			return fmt.Errorf("%s: %w", c.files.Certificate, err)
		}
	}
	if now := time.Now(); now.After(cert.Leaf.NotAfter) {
		return fmt.Errorf("%s: the certificate expired on %s", c.files.Certificate, cert.Leaf.NotAfter.Format(time.DateOnly))
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s: contains no certificate", c.files.CA)
	}
	c.cert, c.roots = &cert, roots
	return nil
}

// fileStamps returns the modification time and size of each file, to detect changes.
func (c *Credentials) fileStamps() (s [3]string) {
	for i, path := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if info, err := os.Stat(path); err == nil {
			s[i] = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
		}
	}
	return s
}

// current returns the certificate and roots in use, after a check for changed files.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= checkInterval {
		c.checkedAt = now
		if s := c.fileStamps(); s != c.stamps {
			if c.reloadErr = c.load(); c.reloadErr == nil {
				c.stamps = s
			}
		}
	}
	return c.cert, c.roots
}

// ReloadError returns why changed files are not in use, nil if they are.
func (c *Credentials) ReloadError() error {
	c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reloadErr
}

// ServerConfig returns the configuration of a listener: a client must present a certificate of the CA with one of the
// accepted names.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: roots, NextProtos: []string{"h2"},
				ClientAuth: tls.RequireAndVerifyClientCert, VerifyConnection: c.verifyName,
			}, nil
		},
	}
}

// verifyName checks that a client's certificate has an accepted name.
func (c *Credentials) verifyName(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	leaf := s.PeerCertificates[0]
	for _, name := range append(slices.Clone(leaf.DNSNames), leaf.Subject.CommonName) {
		if name != "" && slices.Contains(c.files.AcceptedNames, name) {
			return nil
		}
	}
	return fmt.Errorf("the client certificate for %q has no accepted name", leaf.DNSNames)
}

// ClientConfig returns the configuration of a client; name must be in the server's certificate.
func (c *Credentials) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		// The roots may change, so VerifyConnection does the full verification of the chain and the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("the peer presented no certificate")
			}
			_, roots := c.current()
			intermediates := x509.NewCertPool()
			for _, cert := range s.PeerCertificates[1:] {
				intermediates.AddCert(cert)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: name})
			return err
		},
	}
}
