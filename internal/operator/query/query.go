// Package query is a client of instances' operator endpoints. It can also wait until a
// revision is active on every live instance.
package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/httpanswer"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

// Limits of one request.
const (
	timeout        = 3 * time.Second
	maxAnswerBytes = 32 << 20
)

// Errors of a Client.
var (
	// ErrNotAuthorized means that the instance rejected the token.
	ErrNotAuthorized = errors.New("operator token rejected")
	// ErrUnreachable means that there was no complete, valid response.
	ErrUnreachable = errors.New("operator endpoint unreachable")
)

// Client sends requests to the operator endpoints of one instance.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client of the operator endpoints at address, an IP address and port.
func New(address, token string) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("operator address %q is not an IP address and port: %w", address, err)
	}
	return &Client{address: address, token: token, http: &http.Client{Timeout: timeout}}, nil
}

// Address returns the address of the operator endpoints.
func (c *Client) Address() string {
	return c.address
}

// Status requests api.PathStatus.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var status api.Status
	err := c.get(ctx, api.PathStatus, nil, &status)
	return status, err
}

// ActiveConfig requests api.PathActiveConfig.
func (c *Client) ActiveConfig(ctx context.Context) (api.ActiveConfig, error) {
	var active api.ActiveConfig
	err := c.get(ctx, api.PathActiveConfig, nil, &active)
	return active, err
}

// Explain requests api.PathExplain.
func (c *Client) Explain(ctx context.Context, method, path string, account fleet.Account) (api.Explanation, error) {
	query := url.Values{api.ParamMethod: {method}, api.ParamPath: {path}, api.ParamAccount: {string(account)}}
	var explanation api.Explanation
	err := c.get(ctx, api.PathExplain, query, &explanation)
	return explanation, err
}

func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return fmt.Errorf("create request to %s: %w", c.address, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := httpanswer.ReadBody(response, maxAnswerBytes)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.address, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusUnauthorized, http.StatusForbidden:
		return fmt.Errorf("%w: %s: status %d", ErrNotAuthorized, c.address, response.StatusCode)
	default:
		return fmt.Errorf("%w: %s: status %d", ErrUnreachable, c.address, response.StatusCode)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %s: decode response of %d bytes: %w", ErrUnreachable, c.address, len(data), err)
	}
	return nil
}
