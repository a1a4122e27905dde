// Package security provides the TLS configurations of a node. It reloads the certificate and key files when they change.
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

// Files holds the paths of a node's PEM files. If Authority is empty, server certificates are verified with the system's root
// certificates, and clients need no certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether TLS is configured.
func (files Files) Enabled() bool { return files.Certificate != "" }

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// Reloader holds a certificate and reloads it when one of its files has changed. It is safe for concurrent use.
type Reloader struct {
	files Files
	roots *x509.CertPool // nil for the system's root certificates

	mu          sync.Mutex
	certificate *tls.Certificate
	modified    time.Time
	checked     time.Time
}

// NewReloader reads the files and returns an error if they are not valid.
func NewReloader(files Files) (*Reloader, error) {
	reloader := &Reloader{files: files}
	if files.Authority != "" {
		content, err := os.ReadFile(files.Authority)
		if err != nil {
			return nil, errors.Wrap(err, "read authority")
		}
		reloader.roots = x509.NewCertPool()
		if !reloader.roots.AppendCertsFromPEM(content) {
			return nil, errors.Newf("%s holds no certificate", files.Authority)
		}
	}
	_, err := reloader.current()
	return reloader, err
}

// current returns the last certificate that was loaded. It keeps the previous certificate while the files cannot be loaded,
// for example because they are only partly written.
func (reloader *Reloader) current() (*tls.Certificate, error) {
	reloader.mu.Lock()
	defer reloader.mu.Unlock()
	if reloader.certificate != nil && time.Since(reloader.checked) < checkInterval {
		return reloader.certificate, nil
	}
	reloader.checked = time.Now()
	modified, err := reloader.latestModification()
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
	return nil, errors.Wrap(err, "load certificate")
}

// latestModification returns the later modification time of both files.
func (reloader *Reloader) latestModification() (time.Time, error) {
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

// Server returns the configuration of a listener. If mutual is true and there is an authority, clients must present a
// certificate of that authority.
func (reloader *Reloader) Server(mutual bool) *tls.Config {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.current() },
	}
	if mutual && reloader.roots != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = reloader.roots
	}
	return config
}

// Client returns the configuration for connections to other nodes.
func (reloader *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              reloader.roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.current() },
	}
}

// Listen wraps a listener in TLS.
func Listen(listener net.Listener, config *tls.Config) net.Listener {
	return tls.NewListener(listener, config)
}

// OnLoopback reports whether an IP:port address is in the loopback range.
func OnLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}
