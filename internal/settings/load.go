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

// MaxFileBytes bounds a settings file and each file that it names.
const MaxFileBytes = 1 << 20

// Load reads the settings in a file. Files that the settings name are looked for from
// the settings file's directory. The error is a *tomlfile.ValidationError.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, &tomlfile.ValidationError{Fields: []tomlfile.FieldError{{File: path, Problem: err.Error()}}}
	}
	return Parse(path, data)
}

// Parse reads settings from the bytes of a file that is named path.
func Parse(path string, data []byte) (*Settings, error) {
	c := &tomlfile.Collector{File: path}
	s := Default()
	tomlfile.Decode(c, data, &s)
	s.fillIn()
	s.provision(c, filepath.Dir(path))
	s.validate(c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// fillIn sets the values that follow from others.
func (s *Settings) fillIn() {
	l := &s.Listen
	l.EntryAdvertised = advertisedOr(l.EntryAdvertised, l.Entry)
	l.PeerAdvertised = advertisedOr(l.PeerAdvertised, l.Peer)
	l.OperatorAdvertised = advertisedOr(l.OperatorAdvertised, l.Operator)
}

// advertisedOr returns the listening address where no other is set, unless its port is not known yet.
func advertisedOr(advertised, listening string) string {
	if advertised != "" {
		return advertised
	}
	if addr, err := netip.ParseAddrPort(listening); err == nil && addr.Port() == 0 {
		return ""
	}
	return listening
}

// provision reads the files that the settings name.
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
		c.Add("operator.token_file", o.TokenFile, "operator.token is set too; set one of them")
		return
	}
	data, err := readFile(resolve(dir, o.TokenFile))
	if err != nil {
		c.Add("operator.token_file", o.TokenFile, "%s", err)
		return
	}
	o.Token = strings.TrimSpace(string(data))
}

// provision checks the certificates; the links read the files again when they change.
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
		c.Add("peer.ca_file", p.CAFile, "holds no PEM certificate")
	}
}

func (k *TicketKey) provision(c *tomlfile.Collector, key, dir string) {
	if k.SecretFile != "" && k.Secret != "" {
		c.Add(key+".secret_file", k.SecretFile, "%s.secret is set too; set one of them", key)
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

// decodeSecret decodes hex, or else base64.
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
		return nil, fmt.Errorf("file of %d bytes is over %d", info.Size(), MaxFileBytes)
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
