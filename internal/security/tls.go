// Package security makes the TLS configurations of a node from key files, which are read again when they change.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files name a node's PEM files. Authority may be empty; then peers' certificates are checked by the system's roots and
// nodes are not asked for theirs.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether TLS is configured.
func (files Files) Enabled() bool { return files.Certificate != "" }

// checkInterval is the least time between two looks at the files.
const checkInterval = 5 * time.Second

// Reloader holds a certificate and reads its files again when one of them has changed. It is safe for concurrent use.
type Reloader struct {
	files Files
	pool  *x509.CertPool // nil for the system's roots

	mu          sync.Mutex
	certificate *tls.Certificate
	modified    time.Time
	checked     time.Time
}

// NewReloader reads the files once and fails when they are wrong.
func NewReloader(files Files) (*Reloader, error) {
	reloader := &Reloader{files: files}
	if files.Authority != "" {
		content, err := os.ReadFile(files.Authority)
		if err != nil {
			return nil, errors.Wrap(err, "authority")
		}
		reloader.pool = x509.NewCertPool()
		if !reloader.pool.AppendCertsFromPEM(content) {
			return nil, errors.Newf("%s holds no certificate", files.Authority)
		}
	}
	_, err := reloader.current()
	return reloader, err
}

// current returns the newest certificate that could be read. Files that are half written keep the old one in use.
func (reloader *Reloader) current() (*tls.Certificate, error) {
	reloader.mu.Lock()
	defer reloader.mu.Unlock()
	if reloader.certificate != nil && time.Since(reloader.checked) < checkInterval {
		return reloader.certificate, nil
	}
	reloader.checked = time.Now()
	modified, err := reloader.newest()
	if err == nil && (reloader.certificate == nil || modified.After(reloader.modified)) {
		var pair tls.Certificate
		pair, err = tls.LoadX509KeyPair(reloader.files.Certificate, reloader.files.Key)
		if err == nil {
			reloader.certificate, reloader.modified = &pair, modified
		}
	}
	if reloader.certificate != nil {
		return reloader.certificate, nil
	}
	return nil, errors.Wrap(err, "certificate")
}

// newest returns when the newer of both files was changed.
func (reloader *Reloader) newest() (time.Time, error) {
	certificate, err := os.Stat(reloader.files.Certificate)
	if err != nil {
		return time.Time{}, err
	}
	key, err := os.Stat(reloader.files.Key)
	if err != nil {
		return time.Time{}, err
	}
	if key.ModTime().After(certificate.ModTime()) {
		return key.ModTime(), nil
	}
	return certificate.ModTime(), nil
}

// Server returns the configuration of a listener; mutual asks clients for a certificate of the authority.
func (reloader *Reloader) Server(mutual bool) *tls.Config {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.current() },
	}
	if mutual && reloader.pool != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = reloader.pool
	}
	return config
}

// Client returns the configuration of connections to other nodes.
func (reloader *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              reloader.pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.current() },
	}
}

// Listen wraps a listener in TLS.
func Listen(listener net.Listener, config *tls.Config) net.Listener {
	return tls.NewListener(listener, config)
}

// OnLoopback reports whether an address IP:port is of the loopback range.
func OnLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}
