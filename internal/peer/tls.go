package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// ErrPlaintext reports that an address outside loopback was to be used without TLS.
var ErrPlaintext = errors.New("plaintext peer links are for loopback addresses only")

// certificateCheckInterval is the minimum time between checks of the certificate files for changes.
const certificateCheckInterval = 5 * time.Second

// TLSFiles names the PEM files for mutual TLS. They are reloaded when they change.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string // Root certificates for peers' certificates.
}

// credentials holds the loaded contents of TLSFiles.
type credentials struct {
	files TLSFiles

	mu          sync.Mutex
	checked     time.Time
	modified    time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
}

// loadCredentials loads the files, so that invalid ones are reported at start.
func loadCredentials(files TLSFiles) (*credentials, error) {
	c := &credentials{files: files}
	if err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *credentials) read() error {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %q with key %q: %w", c.files.Certificate, c.files.Key, err)
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return fmt.Errorf("read authority %q: %w", c.files.Authority, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("authority file %q contains no certificate", c.files.Authority)
	}
	c.certificate = certificate
	c.authority = pool
	c.modified = c.latestModTime()
	return nil
}

// latestModTime returns the latest modification time of the files, or zero when one cannot be read.
func (c *credentials) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the authority, and reloads them if the files have
// changed. If loading fails, the previous ones stay in use.
func (c *credentials) current(now time.Time) (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checked) >= certificateCheckInterval {
		c.checked = now
		if !c.latestModTime().Equal(c.modified) {
			_ = c.read()
		}
	}
	return c.certificate, c.authority
}

// server returns the server configuration, which requires a client certificate.
func (c *credentials) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := c.current(time.Now())
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{certificate},
				ClientCAs:    authority,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// client returns the client configuration for dialing the instance named id.
func (c *credentials) client(id string) *tls.Config {
	certificate, authority := c.current(time.Now())
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		// VerifyConnection verifies the chain instead. Instances are dialed by IP addresses,
		// which change with each replacement, so the name to check is the instance's ID.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, authority, id)
		},
	}
}

// verifyPeer checks that the peer's certificate chains to authority and names id.
func verifyPeer(state tls.ConnectionState, authority *x509.CertPool, id string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	options := x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := leaf.Verify(options); err != nil {
		return fmt.Errorf("peer certificate %q: %w", leaf.Subject.CommonName, err)
	}
	if leaf.Subject.CommonName != id {
		return fmt.Errorf("peer certificate names %q, want %q", leaf.Subject.CommonName, id)
	}
	return nil
}

// checkPlaintext returns ErrPlaintext unless address is on loopback.
func checkPlaintext(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address %q: %w", address, err)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%w: %q", ErrPlaintext, address)
	}
	return nil
}
