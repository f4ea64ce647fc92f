package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// reloadInterval is the interval after which the next connection reads the certificate
// files again.
const reloadInterval = 5 * time.Second

// TLSFiles holds the paths of the PEM files for a process's links. Either all are set or
// none.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string // certificates that sign those of the fleet
}

// Empty reports whether no file is set, so that links are in plain text.
func (f TLSFiles) Empty() bool { return f == TLSFiles{} }

// LoadSecurity returns a Security with which both ends of a link must present a certificate
// signed by the fleet's authority. Changed files are reloaded without a restart. While they
// cannot be read, the certificates loaded last stay in use.
func LoadSecurity(files TLSFiles) (Security, error) {
	if files.Empty() {
		return Security{}, nil
	}
	r := &tlsReloader{files: files}
	if err := r.load(); err != nil {
		return Security{}, err
	}
	client := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.current().certificate, nil },
		// A peer is accepted for its authority, whatever host name its certificate has, so
		// verify replaces the standard verification.
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

// tlsMaterial holds a certificate and the authority that were loaded together.
type tlsMaterial struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// tlsReloader loads the files again at reloadInterval, when they are needed.
type tlsReloader struct {
	files TLSFiles

	mu        sync.Mutex
	loaded    tlsMaterial
	checkedAt time.Time
}

// load reads all files. On an error the material loaded before stays.
func (r *tlsReloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "certificate file %s or key file %s cannot be loaded", r.files.Certificate, r.files.Key)
	}
	pem, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "authority file %s cannot be read", r.files.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fault.New(fault.InvalidRequest, "authority file %s contains no PEM certificate", r.files.Authority)
	}
	r.loaded = tlsMaterial{certificate: &certificate, authority: pool}
	return nil
}

// current returns the material in use, after a reload if one is due.
func (r *tlsReloader) current() tlsMaterial {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) >= reloadInterval {
		r.checkedAt = time.Now()
		_ = r.load() // on an error the material in use stays
	}
	return r.loaded
}

// verify returns an error unless the peer's certificate is signed by the fleet's authority.
func (r *tlsReloader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Unauthenticated, "the peer presented no certificate")
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
		return fault.Wrap(err, fault.Unauthenticated, "the peer's certificate is not signed by the fleet's authority")
	}
	return nil
}
