package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// selfSigned writes a self-signed certificate for 127.0.0.1 that is also the CA.
func selfSigned(t *testing.T) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, bytes []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return TLSFiles{Cert: cert, Key: write("key.pem", "PRIVATE KEY", private), CA: cert}
}

// A port with a CA must reject clients without a certificate of that CA, and
// accept those that have one.
func TestTLSIsMutual(t *testing.T) {
	files := selfSigned(t)
	config, err := files.ServerConfig()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = config
	server.StartTLS()
	defer server.Close()
	get := func(files TLSFiles) error {
		config, err := files.ClientConfig()
		if err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		defer client.CloseIdleConnections()
		response, err := client.Get(server.URL)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	if err := get(files); err != nil {
		t.Errorf("with certificate: %v", err)
	}
	if err := get(TLSFiles{CA: files.CA}); err == nil {
		t.Error("without certificate: served")
	}
}

func TestTLSOff(t *testing.T) {
	config, err := TLSFiles{}.ServerConfig()
	if config != nil || err != nil {
		t.Errorf("got %v, %v", config, err)
	}
}
