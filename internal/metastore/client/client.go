package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/internal/httpanswer"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/protocol"
)

// Limits of the client's connections.
const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 4
)

// Client is a metastore.Store and a metastore.List.
type Client struct {
	base        string
	name        string
	http        *http.Client
	lastListing atomic.Pointer[metastore.Listing] // As last read; must not be modified.
}

var (
	_ metastore.Store = (*Client)(nil)
	_ metastore.List  = (*Client)(nil)
)

// New returns a client of the platform at addr, an IP address and port. Each call
// carries name, under which the platform counts calls.
func New(addr, name string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: httpanswer.MaxHeadBytes,
	}
	return &Client{
		base: "http://" + addr,
		name: name,
		http: &http.Client{Transport: transport, CheckRedirect: stopAtRedirect},
	}
}

// Close closes the client's idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get implements metastore.Store.
func (c *Client) Get(ctx context.Context, key string) (metastore.Value, error) {
	return c.read(ctx, key, "")
}

// Watch implements metastore.Store. It repeats the request each time that the store reports no change.
func (c *Client) Watch(ctx context.Context, key string, after metastore.Version) (metastore.Value, error) {
	query := "?" + protocol.ParamWatch + "=" + formatID(uint64(after))
	for {
		value, err := c.read(ctx, key, query)
		if !errors.Is(err, errNotModified) {
			return value, err
		}
	}
}

// CompareAndSwap implements metastore.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected metastore.Version, data []byte, lease metastore.LeaseID) (metastore.Version, error) {
	if len(data) > metastore.MaxValueBytes {
		return 0, fmt.Errorf("write key %q: %w: %d bytes, at most %d", key, metastore.ErrTooLarge, len(data), metastore.MaxValueBytes)
	}
	header := http.Header{protocol.HeaderExpectedVersion: {formatID(uint64(expected))}}
	if lease != 0 {
		header.Set(protocol.HeaderLease, formatID(uint64(lease)))
	}
	reply, err := c.write(ctx, http.MethodPut, keyPath(key), header, data)
	if err != nil {
		return 0, fmt.Errorf("write key %q at version %d: %w", key, expected, err)
	}
	version, err := reply.id(protocol.HeaderVersion)
	if err != nil {
		return 0, fmt.Errorf("write key %q: %w: %w", key, metastore.ErrUnknownResult, err)
	}
	return metastore.Version(version), nil
}

// GrantLease implements metastore.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	path := protocol.PathLeases + "?" + protocol.ParamTTL + "=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	reply, err := c.write(ctx, http.MethodPost, path, http.Header{}, nil)
	if err != nil {
		return 0, fmt.Errorf("grant lease of %v: %w", ttl, err)
	}
	id, err := reply.id(protocol.HeaderLease)
	if err != nil {
		return 0, fmt.Errorf("grant lease of %v: %w: %w", ttl, metastore.ErrUnknownResult, err)
	}
	return metastore.LeaseID(id), nil
}

// KeepAlive implements metastore.Store.
func (c *Client) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	path := protocol.PathLeases + "/" + formatID(uint64(lease)) + protocol.PathKeepAlive
	if _, err := c.write(ctx, http.MethodPost, path, http.Header{}, nil); err != nil {
		return fmt.Errorf("keep lease %d alive: %w", lease, err)
	}
	return nil
}

// Read implements metastore.List. It sends the version that it read last, so that the response holds
// the list only when it has changed. The returned listings share their entries, which must not be modified.
func (c *Client) Read(ctx context.Context) (metastore.Listing, error) {
	header := http.Header{}
	cached := c.lastListing.Load()
	if cached != nil {
		header.Set(protocol.HeaderKnownVersion, formatID(cached.Version))
	}
	reply, _, err := c.send(ctx, http.MethodGet, protocol.PathList, header, nil, protocol.MaxListBytes)
	if err != nil {
		return metastore.Listing{}, fmt.Errorf("read list: %w: %w", metastore.ErrUnavailable, err)
	}
	err = reply.check()
	if errors.Is(err, errNotModified) && cached != nil {
		return *cached, nil
	}
	if err != nil {
		return metastore.Listing{}, fmt.Errorf("read list: %w", readError(err))
	}
	listing, err := decodeListing(reply.body)
	if err != nil {
		return metastore.Listing{}, fmt.Errorf("read list of %d bytes: %w: %w", len(reply.body), metastore.ErrUnavailable, err)
	}
	c.lastListing.Store(listing)
	return *listing, nil
}

func (c *Client) read(ctx context.Context, key, query string) (metastore.Value, error) {
	reply, _, err := c.send(ctx, http.MethodGet, keyPath(key)+query, http.Header{}, nil, metastore.MaxValueBytes)
	if err != nil {
		return metastore.Value{}, fmt.Errorf("read key %q: %w: %w", key, metastore.ErrUnavailable, err)
	}
	if err := reply.check(); err != nil {
		return metastore.Value{}, fmt.Errorf("read key %q: %w", key, readError(err))
	}
	version, err := reply.id(protocol.HeaderVersion)
	if err != nil {
		return metastore.Value{}, fmt.Errorf("read key %q: %w: %w", key, metastore.ErrUnavailable, err)
	}
	return metastore.Value{Data: reply.body, Version: metastore.Version(version)}, nil
}

// write sends a call that changes the store. It is sent once, as a retry could take effect twice.
func (c *Client) write(ctx context.Context, method, path string, header http.Header, body []byte) (storeReply, error) {
	reply, sent, err := c.send(ctx, method, path, header, body, metastore.MaxValueBytes)
	switch {
	case err != nil && sent:
		return storeReply{}, fmt.Errorf("%w: %w", metastore.ErrUnknownResult, err)
	case err != nil:
		return storeReply{}, fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
	}
	return reply, reply.check()
}

// send makes one call. sent reports whether any byte of the request may have been sent.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte, limit int) (reply storeReply, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return storeReply{}, false, err
	}
	request.Header = header
	request.Header.Set(protocol.HeaderClient, c.name)
	response, err := c.http.Do(request)
	if err != nil {
		return storeReply{}, connected.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := httpanswer.ReadBody(response, int64(limit))
	if err != nil {
		return storeReply{}, true, fmt.Errorf("read response: %w", err)
	}
	return storeReply{status: response.StatusCode, header: response.Header, body: data}, true, nil
}

func stopAtRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func keyPath(key string) string {
	return protocol.PathKeys + url.PathEscape(key)
}

func formatID(id uint64) string {
	return strconv.FormatUint(id, 10)
}
