package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/internal/metastore/client"
	"github.com/damaskcove/damaskcove/internal/operator/query"
)

// Defaults of flags.
const (
	defaultTimeout = 30 * time.Second
	tokenVariable  = "DAMASKCOVE_TOKEN"
	clientName     = "damaskctl"
)

// storeFlags are the flags of commands that access the platform's store.
type storeFlags struct {
	platform string
	timeout  time.Duration
}

func (f *storeFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.platform, "platform", "", "IP address and port of the platform's store (required)")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "time after which to stop retrying")
}

// open returns a client of the store, and a context that ends after the timeout.
func (f *storeFlags) open(ctx context.Context) (*client.Client, context.Context, context.CancelFunc, error) {
	if _, err := netip.ParseAddrPort(f.platform); err != nil {
		return nil, nil, nil, usageError(fmt.Errorf("--platform %q is not an IP address and port", f.platform))
	}
	if f.timeout <= 0 {
		return nil, nil, nil, usageError(fmt.Errorf("--timeout %v must be greater than 0", f.timeout))
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	return client.New(f.platform, clientName), ctx, cancel, nil
}

// operatorFlags are the flags of commands that query instances' operator endpoints.
type operatorFlags struct {
	addresses []string
	tokenFile string
}

func (f *operatorFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.addresses, "operator", nil, "IP address and port of an instance's operator endpoints; may be repeated")
	c.Flags().StringVar(&f.tokenFile, "token-file", "", "file with the operators' token (default: the variable "+tokenVariable+")")
}

// open returns a client for each address.
func (f *operatorFlags) open() ([]*query.Client, error) {
	if len(f.addresses) == 0 {
		return nil, usageError(fmt.Errorf("at least one --operator is required"))
	}
	token := os.Getenv(tokenVariable)
	if f.tokenFile != "" {
		data, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, fmt.Errorf("read token: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	var clients []*query.Client
	for _, address := range f.addresses {
		c, err := query.New(address, token)
		if err != nil {
			return nil, usageError(err)
		}
		clients = append(clients, c)
	}
	return clients, nil
}
