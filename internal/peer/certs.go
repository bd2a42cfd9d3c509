package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// reloadInterval is how often the certificate files are checked for changes.
const reloadInterval = time.Second

// ErrInvalidCertificate is returned for certificate files that cannot be
// loaded and for peer certificates that fail verification.
var ErrInvalidCertificate = errors.New("invalid certificate")

// Certs holds a certificate, its private key and the CA certificates that peers
// are verified against, and reloads them when the files change. If reloading
// fails, the previously loaded certificates stay in use.
type Certs struct {
	certFile string
	keyFile  string
	caFile   string

	mu         sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time
	keyPair    *tls.Certificate
	caPool     *x509.CertPool
}

// LoadCerts reads the PEM files. If caFile is empty, a listener does not ask its
// clients for a certificate. LoadCerts fails with
// ErrInvalidCertificate.
func LoadCerts(certFile, keyFile, caFile string) (*Certs, error) {
	c := &Certs{
		certFile: certFile,
		keyFile:  keyFile,
		caFile:   caFile,
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certs) load() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(ErrInvalidCertificate, "load key pair: %s", err)
	}
	var pool *x509.CertPool
	if c.caFile != "" {
		pem, err := os.ReadFile(c.caFile)
		if err != nil {
			return errors.Wrapf(ErrInvalidCertificate, "read CA file: %s", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Wrap(ErrInvalidCertificate, "CA file contains no certificate")
		}
	}
	c.keyPair = &pair
	c.caPool = pool
	c.modifiedAt = c.latestModTime()
	return nil
}

func (c *Certs) latestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{c.certFile, c.keyFile, c.caFile} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificate and the CA pool. It first reloads them if the
// files have changed, which it checks at most once per reloadInterval.
func (c *Certs) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checkedAt) >= reloadInterval {
		c.checkedAt = now
		if c.latestModTime().After(c.modifiedAt) {
			_ = c.load()
		}
	}
	return c.keyPair, c.caPool
}

// ServerConfig returns the TLS configuration for a listener. If a CA file is
// set, clients must present a certificate that it has issued.
func (c *Certs) ServerConfig() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
	}
	if c.caFile != "" {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageClientAuth)
		}
	}
	return config
}

// ClientConfig returns the TLS configuration for connections to a Server. The
// server's certificate is verified against the CA but not against a host name,
// because instances are known only by their addresses.
func (c *Certs) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

func (c *Certs) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	_, pool := c.current()
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrInvalidCertificate, "peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrapf(ErrInvalidCertificate, "verify peer: %s", err)
	}
	return nil
}
