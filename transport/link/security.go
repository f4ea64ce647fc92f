package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// reloadInterval is how often certificate files are looked at again.
const reloadInterval = 5 * time.Second

// TLSFiles names the PEM files that secure a process's links. Either all are set
// or none.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string // signs every certificate of the fleet
}

// Empty reports whether links are to be in plain text.
func (f TLSFiles) Empty() bool { return f == TLSFiles{} }

// LoadSecurity returns a security in which both ends show a certificate of the fleet's
// authority. Changed files are taken in without a restart; while new files are
// unreadable the last good ones stay in use.
func LoadSecurity(files TLSFiles) (Security, error) {
	if files.Empty() {
		return Security{}, nil
	}
	r := &reloader{files: files}
	if err := r.load(); err != nil {
		return Security{}, err
	}
	client := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.current().certificate, nil },
		// Members are told apart by the fleet's authority, not by their names.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verify,
	}
	server := &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current().certificate, nil },
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: r.verify,
	}
	return Security{Client: client, Server: server}, nil
}

// material is one consistent reading of the files.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

type reloader struct {
	files TLSFiles

	mu       sync.Mutex
	held     material
	lookedAt time.Time
}

func (r *reloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "certificate %s or key %s cannot be read", r.files.Certificate, r.files.Key)
	}
	pem, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "authority %s cannot be read", r.files.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fault.New(fault.InvalidRequest, "authority %s holds no certificate", r.files.Authority)
	}
	r.held = material{certificate: &certificate, authority: pool}
	return nil
}

func (r *reloader) current() material {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lookedAt) >= reloadInterval {
		r.lookedAt = time.Now()
		_ = r.load() // the last good material stays in use
	}
	return r.held
}

// verify accepts a peer whose certificate the fleet's authority has signed.
func (r *reloader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Unauthenticated, "peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.current().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fault.Wrap(err, fault.Unauthenticated, "peer's certificate is not the fleet's")
	}
	return nil
}
