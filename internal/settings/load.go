package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// MaxFileBytes is the maximum size of a settings file and of each file that it refers to.
const MaxFileBytes = 1 << 20

// Load reads settings from a file. Relative paths in the settings are resolved against
// the settings file's directory. The error is a *tomlfile.ValidationError.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, &tomlfile.ValidationError{Fields: []tomlfile.FieldError{{File: path, Problem: err.Error()}}}
	}
	return Parse(path, data)
}

// Parse reads settings from data, the contents of the file at path.
func Parse(path string, data []byte) (*Settings, error) {
	c := &tomlfile.Collector{File: path}
	s := Default()
	tomlfile.Decode(c, data, &s)
	s.setAdvertisedDefaults()
	s.provision(c, filepath.Dir(path))
	s.validate(c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// setAdvertisedDefaults derives the advertised addresses that are not set from the listening ones.
func (s *Settings) setAdvertisedDefaults() {
	l := &s.Listen
	l.EntryAdvertised = advertisedOrListening(l.EntryAdvertised, l.Entry)
	l.PeerAdvertised = advertisedOrListening(l.PeerAdvertised, l.Peer)
	l.OperatorAdvertised = advertisedOrListening(l.OperatorAdvertised, l.Operator)
}

// advertisedOrListening returns advertised, or listening when advertised is empty. It returns ""
// when listening has port 0, since its port is only known once the listener is open.
func advertisedOrListening(advertised, listening string) string {
	if advertised != "" {
		return advertised
	}
	if addr, err := netip.ParseAddrPort(listening); err == nil && addr.Port() == 0 {
		return ""
	}
	return listening
}

// provision reads the files that the settings refer to.
func (s *Settings) provision(c *tomlfile.Collector, dir string) {
	s.Operator.provision(c, dir)
	s.Peer.provision(c, dir)
	for i := range s.Tickets.Keys {
		s.Tickets.Keys[i].provision(c, fmt.Sprintf("tickets.keys[%d]", i), dir)
	}
}

func (o *Operator) provision(c *tomlfile.Collector, dir string) {
	if o.TokenFile == "" {
		return
	}
	if o.Token != "" {
		c.Add("operator.token_file", o.TokenFile, "operator.token is also set; set only one of them")
		return
	}
	data, err := readFile(resolve(dir, o.TokenFile))
	if err != nil {
		c.Add("operator.token_file", o.TokenFile, "%s", err)
		return
	}
	o.Token = strings.TrimSpace(string(data))
}

// provision resolves the paths and checks the certificates. Peer links reload the files when they
// change.
func (p *Peer) provision(c *tomlfile.Collector, dir string) {
	p.CertFile = resolve(dir, p.CertFile)
	p.KeyFile = resolve(dir, p.KeyFile)
	p.CAFile = resolve(dir, p.CAFile)
	if p.CertFile != "" && p.KeyFile != "" {
		if _, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile); err != nil {
			c.Add("peer.cert_file", p.CertFile, "with peer.key_file %s: %s", p.KeyFile, err)
		}
	}
	if p.CAFile == "" {
		return
	}
	data, err := readFile(p.CAFile)
	if err != nil {
		c.Add("peer.ca_file", p.CAFile, "%s", err)
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(data) {
		c.Add("peer.ca_file", p.CAFile, "contains no PEM certificate")
	}
}

func (k *TicketKey) provision(c *tomlfile.Collector, key, dir string) {
	if k.SecretFile != "" && k.Secret != "" {
		c.Add(key+".secret_file", k.SecretFile, "%s.secret is also set; set only one of them", key)
		return
	}
	if k.SecretFile != "" {
		data, err := readFile(resolve(dir, k.SecretFile))
		if err != nil {
			c.Add(key+".secret_file", k.SecretFile, "%s", err)
			return
		}
		k.Secret = strings.TrimSpace(string(data))
	}
	secret, err := decodeSecret(k.Secret)
	if err != nil {
		c.Add(key+".secret", "", "%s", err)
		return
	}
	k.Bytes = secret
}

// decodeSecret decodes hex, or base64 if the text is not hex.
func decodeSecret(text string) ([]byte, error) {
	if secret, err := hex.DecodeString(text); err == nil {
		return secret, nil
	}
	if secret, err := base64.StdEncoding.DecodeString(text); err == nil {
		return secret, nil
	}
	return nil, errors.New("is neither hex nor base64")
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	if info.Size() > MaxFileBytes {
		return nil, fmt.Errorf("file has %d bytes, the maximum is %d", info.Size(), MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}

func resolve(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
