package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// TLSFiles names the PEM files of one port.
type TLSFiles struct {
	// Cert and Key are the certificate of the process and its private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA holds the authorities that peers' certificates are verified against. If
	// set, a server requires a certificate of every client.
	CA string `json:"ca"`
}

// Enabled reports whether the port uses TLS.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// ServerConfig returns the TLS configuration to serve the port, or nil if TLS is off.
// The configuration can also be used to dial peers with the same files. Errors are
// of type Unreadable or Malformed.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	config, err := f.ClientConfig()
	if err != nil {
		return nil, err
	}
	if len(config.Certificates) == 0 {
		return nil, Malformed.New("a port needs a certificate; only CA %q is given", f.CA)
	}
	config.ClientCAs = config.RootCAs
	if config.ClientCAs != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the TLS configuration to dial a port, or nil if TLS is off. The
// certificate may be omitted for ports that require none. Errors are of type
// Unreadable or Malformed.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Cert != "" || f.Key != "" {
		pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return nil, Unreadable.Wrap(err, "certificate %q with key %q", f.Cert, f.Key)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	pool, err := loadPool(f.CA)
	if err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

func loadPool(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, Unreadable.Wrap(err, "CA file %q", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Malformed.New("CA file %q holds no certificate", file)
	}
	return pool, nil
}
