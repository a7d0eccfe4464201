// Package keys loads the keys of TLS listeners and clients, checks them, and takes up files that change
// while the program runs.
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

// Files names PEM files.
type Files struct {
	Certificate, Key string
	CA               string   // of the other side
	Names            []string // that the other side's certificate may bear; of clients only
}

// checkInterval is how often, at most, the files are looked at.
const checkInterval = time.Second

// Credentials is a certificate and what the other side is checked by. It is safe for use by several goroutines.
type Credentials struct {
	files Files

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]string
	cert      *tls.Certificate
	roots     *x509.CertPool
	reloadErr error // of files that have changed and cannot be used; the ones before go on to count
}

// Load reads and checks the files.
func Load(f Files) (*Credentials, error) {
	p := &Credentials{files: f}
	if err := p.load(); err != nil {
		return nil, err
	}
	p.stamps, p.checkedAt = p.fileStamps(), time.Now()
	return p, nil
}

func (p *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return fmt.Errorf("%s with %s: %w", p.files.Certificate, p.files.Key, err)
	}
	if cert.Leaf == nil {
		if cert.Leaf, err = x509.ParseCertificate(cert.Certificate[0]); err != nil {
			return fmt.Errorf("%s: %w", p.files.Certificate, err)
		}
	}
	if now := time.Now(); now.After(cert.Leaf.NotAfter) {
		return fmt.Errorf("%s: it ended on %s", p.files.Certificate, cert.Leaf.NotAfter.Format(time.DateOnly))
	}
	text, err := os.ReadFile(p.files.CA)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s: no certificate in it", p.files.CA)
	}
	p.cert, p.roots = &cert, roots
	return nil
}

// fileStamps tells whether files have changed.
func (p *Credentials) fileStamps() (s [3]string) {
	for i, path := range []string{p.files.Certificate, p.files.Key, p.files.CA} {
		if info, err := os.Stat(path); err == nil {
			s[i] = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
		}
	}
	return s
}

// current is the keys that count now.
func (p *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.checkedAt) >= checkInterval {
		p.checkedAt = now
		if s := p.fileStamps(); s != p.stamps {
			if p.reloadErr = p.load(); p.reloadErr == nil {
				p.stamps = s
			}
		}
	}
	return p.cert, p.roots
}

// Fault is why files that have changed do not count, nil if they do.
func (p *Credentials) Fault() error {
	p.current()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reloadErr
}

// Server is a listener's configuration: clients must bear a certificate of the CA, with one of the names.
func (p *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := p.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: roots, NextProtos: []string{"h2"},
				ClientAuth: tls.RequireAndVerifyClientCert, VerifyConnection: p.verifyName,
			}, nil
		},
	}
}

// verifyName checks a client's certificate for a name that may come in.
func (p *Credentials) verifyName(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	leaf := s.PeerCertificates[0]
	for _, n := range append(slices.Clone(leaf.DNSNames), leaf.Subject.CommonName) {
		if n != "" && slices.Contains(p.files.Names, n) {
			return nil
		}
	}
	return fmt.Errorf("a certificate for %q may not come in here", leaf.DNSNames)
}

// Client is a client's configuration; name is what the server's certificate must bear.
func (p *Credentials) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		// The roots may change, so the chain is verified here; nothing is skipped.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("no certificate")
			}
			_, roots := p.current()
			between := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				between.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: between, DNSName: name})
			return err
		},
	}
}
