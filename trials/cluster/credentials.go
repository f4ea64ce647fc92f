package cluster

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/apricotspoke/apricotspoke/transport/link"
)

const certificateLifetime = 24 * time.Hour

// Authority is the certificate authority of a fleet.
type Authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority that writes its certificate and those that it issues
// to a folder.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &Authority{folder: folder, certificate: certificate, key: key}
	return a, errors.Join(os.MkdirAll(folder, 0o700), writePEM(a.path("authority"), "CERTIFICATE", der))
}

// Issue creates the certificate and the private key of a process and writes them to the
// files returned.
func (a *Authority) Issue(name string) (link.TLSFiles, error) {
	files := link.TLSFiles{Certificate: a.path(name), Key: a.path(name + "-key"), Authority: a.path("authority")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	der, err := x509.CreateCertificate(rand.Reader, newTemplate(name), a.certificate, key.Public(), a.key)
	if err != nil {
		return files, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, err
	}
	return files, errors.Join(writePEM(files.Certificate, "CERTIFICATE", der), writePEM(files.Key, "PRIVATE KEY", private))
}

// environment issues the certificate of a process and returns the TLS settings for it. A
// nil authority returns no settings, which leaves the links in plain text.
func (a *Authority) environment(name string) ([]string, error) {
	if a == nil {
		return nil, nil
	}
	files, err := a.Issue(name)
	return []string{
		"APRICOTSPOKE_TLS_CERTIFICATE=" + files.Certificate,
		"APRICOTSPOKE_TLS_KEY=" + files.Key,
		"APRICOTSPOKE_TLS_AUTHORITY=" + files.Authority,
	}, err
}

func (a *Authority) path(name string) string { return filepath.Join(a.folder, name+".pem") }

func newTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
