package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newRequestID returns the id of a new client attempt.
func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d00000000000+lastRequest.Add(1)) }

// clientConn is a client's connection to one instance, kept open for many requests.
type clientConn struct {
	conn   net.Conn
	br     *bufio.Reader
	closes bool // The last answer said "Connection: close".

	idleSince time.Time
}

func dialClient(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, br: bufio.NewReader(c)}, nil
}

// answer is what a client saw of one request.
type answer struct {
	id     string
	sent   time.Time // When the last byte was sent.
	ended  time.Time
	status int // 0: the connection ended without a complete answer.
	stamp  string
	body   string
	err    error
}

// do sends one request and reads its answer.
func (c *clientConn) do(method, host, uri, body string, deadline time.Duration) answer {
	a := answer{id: newRequestID()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, uri, host, a.id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	_, err := io.WriteString(c.conn, head+"\r\n"+body)
	a.sent = time.Now()
	if err == nil {
		err = c.read(&a)
	}
	a.err, a.ended = err, time.Now()
	return a
}

func (c *clientConn) read(a *answer) error {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get("Server-Stamp"), string(body)
	c.closes = resp.Close
	return nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

// once sends one request on a connection of its own.
func once(addr, method, host, uri, body string, deadline time.Duration) answer {
	c, err := dialClient(addr)
	if err != nil {
		return answer{id: newRequestID(), sent: time.Now(), ended: time.Now(), err: err}
	}
	defer c.close()
	return c.do(method, host, uri, body, deadline)
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// resolve asks one instance where to connect.
func resolve(addr, host, zone string) ([]string, time.Duration, error) {
	q := url.Values{"name": {host}, "region": {"region-1"}, "zone": {zone}}
	resp, err := control.Get("http://" + addr + "/damaskcove/resolve?" + q.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if resp.StatusCode != 200 {
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	ttl, err := time.ParseDuration(out.TTL)
	return out.Addresses, ttl, err
}

// get returns the status of a GET.
func get(url string) (int, string) {
	resp, err := control.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}
