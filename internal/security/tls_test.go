package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// authority signs certificates for the loopback address.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func write(t *testing.T, path, kind string, content []byte) {
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
}

func newAuthority(t *testing.T, name string) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	certificate, err := x509.ParseCertificate(encoded)
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "authority.pem")
	write(t, file, "CERTIFICATE", encoded)
	return authority{certificate, key, file}
}

// issue writes a new certificate and its key to the files.
func (a authority) issue(t *testing.T, files Files, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	must.NoError(t, err)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	write(t, files.Certificate, "CERTIFICATE", encoded)
	write(t, files.Key, "EC PRIVATE KEY", encodedKey)
}

func (a authority) files(t *testing.T) Files {
	folder := t.TempDir()
	files := Files{Certificate: filepath.Join(folder, "node.pem"), Key: filepath.Join(folder, "node.key"), Authority: a.file}
	a.issue(t, files, 2)
	return files
}

// A server must refuse a node without a certificate of the authority, and must use a renewed certificate without a restart.
func TestNodesNeedACertificateOfTheAuthorityAndKeysAreReloaded(t *testing.T) {
	trusted, other := newAuthority(t, "trusted"), newAuthority(t, "other")
	serverFiles := trusted.files(t)
	server, err := NewReloader(serverFiles)
	must.NoError(t, err)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener := Listen(plain, server.Server(true))
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {}))
	}()
	t.Cleanup(func() { _ = listener.Close() })
	call := func(files Files) (*http.Response, error) {
		reloader, err := NewReloader(files)
		must.NoError(t, err)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: reloader.Client(), DisableKeepAlives: true}}
		return client.Get("https://" + plain.Addr().String())
	}
	clientFiles := trusted.files(t)
	response, err := call(clientFiles)
	must.NoError(t, err)
	must.Eq(t, 2, response.TLS.PeerCertificates[0].SerialNumber.Int64())

	foreign := other.files(t)
	foreign.Authority = trusted.file
	_, err = call(foreign)
	must.Error(t, err, must.Sprint("a node of another authority"))

	trusted.issue(t, serverFiles, 7)
	later := time.Now().Add(time.Minute)
	must.NoError(t, os.Chtimes(serverFiles.Certificate, later, later))
	server.mu.Lock()
	server.checked = time.Time{}
	server.mu.Unlock()
	response, err = call(clientFiles)
	must.NoError(t, err)
	must.Eq(t, 7, response.TLS.PeerCertificates[0].SerialNumber.Int64())
}

// Invalid key files must be reported at startup.
func TestWrongFilesAreFoundAtTheStart(t *testing.T) {
	files := newAuthority(t, "a").files(t)
	_, err := NewReloader(Files{Certificate: files.Certificate, Key: files.Certificate})
	must.Error(t, err)
	_, err = NewReloader(Files{Certificate: files.Certificate, Key: files.Key, Authority: files.Key})
	must.Error(t, err)
	must.True(t, OnLoopback("127.0.0.1:1"))
	must.False(t, OnLoopback("10.0.0.1:1"))
}
