// Package query asks the operator endpoints of instances, and follows a revision until
// every live instance has it in force.
package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

// Bounds of one question.
const (
	timeout        = 3 * time.Second
	maxAnswerBytes = 32 << 20
)

// Errors of a Client.
var (
	// ErrNotAuthorized says that the instance refused the token.
	ErrNotAuthorized = errors.New("operator token refused")
	// ErrUnreachable says that no whole answer came.
	ErrUnreachable = errors.New("operator endpoint unreachable")
)

// Client asks one instance.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client of the operator endpoints at address, an IP number and port.
func New(address, token string) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("operator address %q is no IP number and port: %w", address, err)
	}
	return &Client{address: address, token: token, http: &http.Client{Timeout: timeout}}, nil
}

// Address returns the address that the client asks.
func (c *Client) Address() string {
	return c.address
}

// Status reads api.PathStatus.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var status api.Status
	err := c.get(ctx, api.PathStatus, nil, &status)
	return status, err
}

// ActiveConfig reads api.PathActiveConfig.
func (c *Client) ActiveConfig(ctx context.Context) (api.ActiveConfig, error) {
	var inForce api.ActiveConfig
	err := c.get(ctx, api.PathActiveConfig, nil, &inForce)
	return inForce, err
}

// Explain reads api.PathExplain.
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
		return fmt.Errorf("ask %s: %w", c.address, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, c.address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %s after %d bytes: %w", ErrUnreachable, c.address, len(data), err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusUnauthorized, http.StatusForbidden:
		return fmt.Errorf("%w: %s: status %d", ErrNotAuthorized, c.address, response.StatusCode)
	default:
		return fmt.Errorf("%w: %s: status %d", ErrUnreachable, c.address, response.StatusCode)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %s: answer of %d bytes: %w", ErrUnreachable, c.address, len(data), err)
	}
	return nil
}
