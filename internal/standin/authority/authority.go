// Package authority is a stand-in for whoever issues an installation's certificates.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Authority issues certificates into a folder.
type Authority struct {
	Dir, CA string // CA is the file of its own certificate
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	serial  int64
}

// New makes one whose certificate is NAME.pem.
func New(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{Dir: dir, CA: filepath.Join(dir, name+".pem"), key: key, serial: 1}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	text, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return a, write(a.CA, "CERTIFICATE", text)
}

// Issue writes a certificate for a name and its key, and returns their files. It is good on loopback.
func (a *Authority) Issue(name string, until time.Time) (cert, key string, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	a.serial++
	c := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	text, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return "", "", err
	}
	cert, key = filepath.Join(a.Dir, name+".crt"), filepath.Join(a.Dir, name+".key")
	if err := write(cert, "CERTIFICATE", text); err != nil {
		return "", "", err
	}
	return cert, key, write(key, "PRIVATE KEY", der)
}

// write puts a file in the place of the one before, whole.
func write(path, kind string, der []byte) error {
	fresh := path + ".new"
	if err := os.WriteFile(fresh, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, path)
}
