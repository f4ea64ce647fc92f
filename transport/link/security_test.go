package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// authority signs the certificates of one fleet.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, _ := x509.ParseCertificate(der)
	return &authority{certificate: certificate, key: key}
}

// issue writes the certificate files of one process into folder.
func (a *authority) issue(t *testing.T, folder string) TLSFiles {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	return TLSFiles{
		Certificate: writePEM(t, folder, "cert.pem", "CERTIFICATE", der),
		Key:         writePEM(t, folder, "key.pem", "EC PRIVATE KEY", keyDER),
		Authority:   writePEM(t, folder, "ca.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

func writePEM(t *testing.T, folder, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// callConfig serves Config under the server's security and calls it under the client's.
func callConfig(t *testing.T, server, client Security) error {
	t.Helper()
	listener := loopback.Listen(t)
	s := NewServer(server)
	wire.RegisterConfigServer(s, configServer{})
	go func() { _ = s.Serve(listener) }()
	defer s.Stop()
	conn, err := Dial(listener.Addr().String(), client)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = wire.NewConfigClient(conn).Sync(ctx, &wire.SyncRequest{})
	return err
}

type configServer struct{ wire.UnimplementedConfigServer }

func (configServer) Sync(context.Context, *wire.SyncRequest) (*wire.SyncResponse, error) {
	return &wire.SyncResponse{}, nil
}

func loadSecurity(t *testing.T, files TLSFiles) Security {
	t.Helper()
	security, err := LoadSecurity(files)
	if err != nil {
		t.Fatal(err)
	}
	return security
}

func TestOnlyCertificatesOfTheFleetAreAccepted(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	member := loadSecurity(t, fleet.issue(t, t.TempDir()))
	if err := callConfig(t, member, loadSecurity(t, fleet.issue(t, t.TempDir()))); err != nil {
		t.Errorf("a process of the fleet was refused: %v", err)
	}
	for name, client := range map[string]Security{"stranger": loadSecurity(t, stranger.issue(t, t.TempDir())), "plain text": {}} {
		if err := callConfig(t, member, client); err == nil {
			t.Errorf("%s read the configuration", name)
		}
	}
}

func TestCertificatesAreReloadedWithoutRestart(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	r := &tlsReloader{files: old.issue(t, folder)}
	if err := r.load(); err != nil {
		t.Fatal(err)
	}
	before := r.current().certificate.Certificate[0]
	renewed.issue(t, folder)
	r.checkedAt = time.Time{}
	if after := r.current().certificate.Certificate[0]; string(after) == string(before) {
		t.Fatal("the renewed certificate was not loaded")
	}
	if err := os.WriteFile(r.files.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.checkedAt = time.Time{}
	if r.current().certificate == nil {
		t.Fatal("a malformed key file replaced the certificate in use")
	}
}
