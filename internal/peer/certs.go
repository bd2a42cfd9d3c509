package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// reloadEvery is how often the files of a certificate are looked at.
const reloadEvery = time.Second

// ErrCertificate is returned for certificate files that can't be used.
var ErrCertificate = errors.New("certificate cannot be used")

// Certs holds a certificate, its key and the authority of its peers, and
// reads them again when the files change. Files that can't be used leave the
// earlier ones in force.
type Certs struct {
	certificate string
	key         string
	authority   string

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	pair    *tls.Certificate
	pool    *x509.CertPool
}

// LoadCerts reads the PEM files. The authority may be empty, and then peers
// show no certificate. It fails with ErrCertificate.
func LoadCerts(certificate, key, authority string) (*Certs, error) {
	c := &Certs{
		certificate: certificate,
		key:         key,
		authority:   authority,
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certs) load() error {
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return errors.Wrapf(ErrCertificate, "load key pair: %s", err)
	}
	var pool *x509.CertPool
	if c.authority != "" {
		pem, err := os.ReadFile(c.authority)
		if err != nil {
			return errors.Wrapf(ErrCertificate, "read authority: %s", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Wrap(ErrCertificate, "authority holds no certificate")
		}
	}
	c.pair = &pair
	c.pool = pool
	c.changed = c.newest()
	return nil
}

func (c *Certs) newest() time.Time {
	var newest time.Time
	for _, path := range []string{c.certificate, c.key, c.authority} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (c *Certs) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checked) >= reloadEvery {
		c.checked = now
		if c.newest().After(c.changed) {
			_ = c.load()
		}
	}
	return c.pair, c.pool
}

// Server returns the configuration of a listener. With an authority, those
// who connect have to show a certificate of it.
func (c *Certs) Server() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
	}
	if c.authority != "" {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageClientAuth)
		}
	}
	return config
}

// Client returns the configuration of those who connect to a Server. The
// other side is checked against the authority and not by its name, as
// instances are known by their addresses only.
func (c *Certs) Client() *tls.Config {
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
		return errors.Wrap(ErrCertificate, "peer shows none")
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
		return errors.Wrapf(ErrCertificate, "peer: %s", err)
	}
	return nil
}
