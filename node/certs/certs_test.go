package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/node/certs"
	"github.com/papayahoist/papayahoist/node/rpc"
	"github.com/papayahoist/papayahoist/node/settings"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newAuthority(name string) *authority {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, key.Public(), key))
	return &authority{cert: must(x509.ParseCertificate(der)), key: key}
}

func write(name, kind string, der []byte) {
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		panic(err)
	}
}

// issue writes a new certificate, its key and the authority's certificate to files.
func (a *authority) issue(files settings.TLSFiles, until time.Time) {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	write(files.Cert, "CERTIFICATE", must(x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)))
	write(files.Key, "EC PRIVATE KEY", must(x509.MarshalECPrivateKey(key)))
	write(files.CA, "CERTIFICATE", a.cert.Raw)
}

func files(dir, name string) settings.TLSFiles {
	return settings.TLSFiles{
		Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, name+"-ca.crt"),
	}
}

// Certificates are replaced at both peers, by those of another authority, while the
// processes run. A process that kept its old certificate would be disconnected from
// all others once it expires. Peers with an invalid or no certificate must be rejected.
func TestReloadWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	first, second := newAuthority("first"), newAuthority("second")
	serverFiles, clientFiles := files(dir, "server"), files(dir, "client")
	soon := time.Now().Add(time.Hour)
	first.issue(serverFiles, soon)
	first.issue(clientFiles, soon)
	server, client := must(certs.Load(serverFiles)), must(certs.Load(clientFiles))
	handled := 0
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled++ })
	s := rpc.NewServer(h, server.Config())
	s.ErrorLog = log.New(io.Discard, "", 0)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	done := make(chan error, 1)
	go func() { done <- rpc.Serve(s, listener) }()
	defer func() {
		_ = s.Close()
		<-done
	}()
	connects := func(c *http.Client) bool {
		defer c.CloseIdleConnections()
		resp, err := c.Get("https://" + listener.Addr().String())
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}
	step := func(what string, c *http.Client, want bool) {
		t.Helper()
		before := handled
		if got := connects(c); got != want || (handled > before) != want {
			t.Errorf("%s: connected %v, handler called %v; want %v", what, got, handled > before, want)
		}
	}
	step("the same authority", rpc.NewClient(client.Config()), true)
	step("no certificate", &http.Client{Transport: &http.Transport{}}, false)

	second.issue(serverFiles, soon)
	if changed, err := server.Reload(); !changed || err != nil {
		t.Fatalf("Reload: %v, %v", changed, err)
	}
	step("another authority on one side", rpc.NewClient(client.Config()), false)
	kept := rpc.NewClient(client.Config())
	second.issue(clientFiles, soon)
	if _, err := client.Reload(); err != nil {
		t.Fatal(err)
	}
	step("another authority on both sides", kept, true)

	if err := os.WriteFile(serverFiles.Key, []byte("half a ke"), 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := server.Reload(); changed || err == nil || server.FailedReloads() != 1 {
		t.Errorf("Reload of a broken key: %v, %v, %d failed", changed, err, server.FailedReloads())
	}
	step("the last valid ones stay in use", rpc.NewClient(client.Config()), true)

	second.issue(clientFiles, time.Now().Add(-time.Minute))
	if _, err := client.Reload(); err != nil {
		t.Fatal(err)
	}
	step("expired", rpc.NewClient(client.Config()), false)
}
