package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	connectTimeout = time.Second
	idleReuse      = 12 * time.Second // Four fifths of limits.idle_timeout.
	maxRetries     = 2
	resolveTries   = 3
	resolvePause   = 500 * time.Millisecond // After no instance has answered.
	maxTTL         = 5 * time.Second
	maxAnswer      = 1 << 20 // Bytes; no upstream sends as many, but for those without end.
)

// request is one request of a caller.
type request struct {
	method, host, path string
	safe               bool
	work, deadline     time.Duration
	patience           time.Duration // The caller leaves after it; zero for the deadline.
	body               int           // Bytes.
	sendTime           time.Duration // From the head to the end of the body.
	credential         Credential
	headers            []string // Further lines of the head.
	trailers           []string // Lines behind the body, which is then sent in chunks.
	oldProto           bool     // HTTP/1.0.
	upload             bool     // Its answer is read while it is sent.
	own                bool     // It is sent on a connection of its own.
}

// text returns the head of a request, and its body unless that is sent slowly.
func (r request) text(id string) string {
	var text strings.Builder
	proto := "HTTP/1.1"
	if r.oldProto {
		proto = "HTTP/1.0"
	}
	fmt.Fprintf(&text, "%s %s %s\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s: %d\r\n", r.method, r.path, proto, r.host, id,
		r.deadline.Milliseconds(), headerWork, r.work.Milliseconds())
	for _, line := range r.headers {
		text.WriteString(line + "\r\n")
	}
	switch {
	case len(r.trailers) > 0:
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", r.body, strings.Repeat("x", r.body), strings.Join(r.trailers, "\r\n"))
		return text.String()
	case r.method != http.MethodGet && r.method != http.MethodHead:
		fmt.Fprintf(&text, "Content-Length: %d\r\n", r.body)
	}
	text.WriteString("\r\n")
	if r.sendTime == 0 {
		text.WriteString(strings.Repeat("x", r.body))
	}
	return text.String()
}

func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// callerConn is a caller's connection to an instance.
type callerConn struct {
	net.Conn
	br       *bufio.Reader
	scan     *keyScanner // Of what is received.
	recorder *recorder
	addr     string
	machine  string
	life     int
	answered int
	closes   bool
	idle     time.Time
}

func dialInstance(f *fleet, addr string) (*callerConn, error) {
	m := f.byCallers(addr)
	if m == nil {
		return nil, fmt.Errorf("no instance has the address %s", addr)
	}
	life := m.life()
	c, err := net.DialTimeout("tcp4", addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	scan := &keyScanner{mark: f.mark}
	return &callerConn{Conn: c, br: bufio.NewReader(io.TeeReader(c, scan)), scan: scan, recorder: f.recorder, addr: addr, machine: m.name, life: life}, nil
}

// do sends requests one behind the other and reads their answers.
func (c *callerConn) do(list []request, direct bool) []Attempt {
	var text strings.Builder
	out := make([]Attempt, len(list))
	for k, r := range list {
		out[k] = Attempt{
			ID: newRequestID(), Host: r.host, Path: r.path, Safe: r.safe, Direct: direct,
			Machine: c.machine, Life: c.life, Kept: c.answered > 0, Behind: k > 0, Deadline: r.deadline, Credential: r.credential,
		}
		text.WriteString(r.text(out[k].ID))
	}
	if list[0].upload {
		c.upload(list[0], &out[0])
		c.finish(&out[0])
		return out
	}
	began := time.Now()
	_, err := io.WriteString(c, text.String())
	if last := list[len(list)-1]; err == nil && last.sendTime > 0 {
		err = c.sendSlowly(last)
	}
	sent := time.Now()
	for k := range out {
		a := &out[k]
		a.Began, a.Sent = began, sent
		if err == nil {
			patience := a.Deadline
			if list[k].patience > 0 {
				patience = min(patience, list[k].patience)
			}
			_ = c.SetReadDeadline(sent.Add(patience))
			err = c.read(a, list[k].method)
		}
		if err != nil {
			a.Err, a.GaveUp = err.Error(), errors.Is(err, os.ErrDeadlineExceeded)
			c.closes = true
		}
		a.Ended = time.Now()
	}
	c.finish(&out[0])
	return out
}

// finish records a key in what was received, and when the connection became idle.
func (c *callerConn) finish(a *Attempt) {
	if c.scan.found {
		c.recorder.leak(Leak{Place: LeakAnswer, Machine: c.machine, Text: "on the connection of request " + a.ID})
		c.scan.found = false
	}
	c.idle = time.Now()
}

// sendParts is the number of parts in which a slow body is sent.
const sendParts = 5

// sendSlowly sends the body of a request in parts, until an answer arrives.
func (c *callerConn) sendSlowly(r request) error {
	for part := range sendParts {
		_ = c.SetReadDeadline(time.Now().Add(r.sendTime / sendParts))
		if _, err := c.br.Peek(1); err == nil {
			return nil
		}
		from, to := r.body*part/sendParts, r.body*(part+1)/sendParts
		if _, err := io.WriteString(c, strings.Repeat("x", to-from)); err != nil {
			return fmt.Errorf("send a body: %w", err)
		}
	}
	return nil
}

func (c *callerConn) read(a *Attempt, method string) error {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if len(body) == maxAnswer {
		return fmt.Errorf("an answer of %d bytes or more", maxAnswer)
	}
	a.Status, a.Stamp, a.Leaving = resp.StatusCode, resp.Header.Get("Server-Stamp"), resp.Header.Get(headerLeaving) == "1"
	parts := strings.SplitN(string(body), " ", 3)
	a.Whole = len(parts) == 3 && string(body) == responseBody(parts[0], parts[1], a.ID) || method == http.MethodHead && len(body) == 0
	if after := resp.Header.Get("Retry-After"); after != "" {
		a.Err = "retry after " + after
	}
	c.answered++
	c.closes = resp.Close
	return nil
}

// caller sends requests as the pages tell: it keeps discovery answers and connections.
type caller struct {
	fleet     *fleet
	recorder  *recorder
	zone      string
	keepTTLs  int        // How many times the TTL it keeps an answer.
	stale     bool       // It gets no addresses after the first.
	known     []*machine // The instances that it asks where to connect; empty for any of the nearest.
	addresses []string
	answers   chan discovery // Of the question under way; nil for none.
	failed    map[string]bool
	until     time.Time
	pool      []*callerConn
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// discovery is an answer to where to connect.
type discovery struct {
	addresses []string
	ttl       time.Duration
}

// resolve asks some instances for addresses if its answer is too old. Until there is a new one, the
// caller goes on with those that it has.
func (c *caller) resolve(host string) {
	if c.stale && len(c.addresses) > 0 {
		return
	}
	if c.answers == nil && time.Now().After(c.until) {
		answers := make(chan discovery, 1)
		c.answers = answers
		asked := c.known
		if len(asked) == 0 {
			asked = c.fleet.nearest(c.zone, resolveTries)
		}
		go func() { answers <- ask(asked, host, c.zone) }()
	}
	if c.answers == nil {
		return
	}
	if len(c.addresses) > 0 && len(c.answers) == 0 {
		return
	}
	d := <-c.answers
	c.answers = nil
	if len(d.addresses) == 0 {
		c.until = time.Now().Add(resolvePause)
		return
	}
	c.addresses, c.failed = d.addresses, map[string]bool{}
	c.until = time.Now().Add(time.Duration(c.keepTTLs) * min(d.ttl, maxTTL))
	keep := c.pool[:0]
	for _, conn := range c.pool {
		if slices.Contains(c.addresses, conn.addr) {
			keep = append(keep, conn)
		} else {
			_ = conn.Close()
		}
	}
	c.pool = keep
}

// ask returns the first answer of some instances; it has no addresses if there is none.
func ask(asked []*machine, host, zone string) discovery {
	for _, m := range asked {
		if addresses, ttl, err := resolveAt(m.discovery, host, zone); err == nil && len(addresses) > 0 {
			return discovery{addresses, ttl}
		}
	}
	return discovery{}
}

func resolveAt(addr, host, zone string) ([]string, time.Duration, error) {
	q := url.Values{"name": {host}, "region": {regionName}, "zone": {zone}}
	resp, err := control.Get("http://" + addr + "/damaskcove/resolve?" + q.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	ttl, err := time.ParseDuration(out.TTL)
	return out.Addresses, ttl, err
}

// connect returns a connection: an open one if kept is true and there is one, else a new one.
func (c *caller) connect(host string, kept bool) *callerConn {
	c.resolve(host)
	for kept && len(c.pool) > 0 {
		k := rand.IntN(len(c.pool))
		conn := c.pool[k]
		c.pool = slices.Delete(c.pool, k, k+1)
		if time.Since(conn.idle) < idleReuse {
			return conn
		}
		_ = conn.Close()
	}
	var usable []string
	for _, addr := range c.addresses {
		if !c.failed[addr] {
			usable = append(usable, addr)
		}
	}
	for len(usable) > 0 {
		k := rand.IntN(len(usable))
		conn, err := dialInstance(c.fleet, usable[k])
		if err == nil {
			return conn
		}
		c.failed[usable[k]] = true
		usable = slices.Delete(usable, k, k+1)
	}
	c.failed = map[string]bool{}
	return nil
}

// send sends requests on one connection and retries them as the pages allow.
func (c *caller) send(ctx context.Context, list []request, kept bool) {
	end := time.Now().Add(list[0].deadline)
	for try := 0; try <= maxRetries && ctx.Err() == nil && len(list) > 0; try++ {
		conn := c.connect(list[0].host, kept && try == 0)
		if conn == nil {
			return
		}
		attempts := conn.do(list, false)
		if conn.closes || !kept {
			_ = conn.Close()
		} else {
			c.pool = append(c.pool, conn)
		}
		var again []request
		wait := time.Duration(0)
		for k, a := range attempts {
			c.recorder.attempt(a)
			left := time.Until(end)
			if ok, after := mayRetry(a, left); ok {
				r := list[k]
				r.deadline = left - after
				again = append(again, r)
				wait = max(wait, after)
			}
		}
		list = again
		time.Sleep(wait)
	}
}

// mayRetry reports whether a caller sends a request once more, and after which delay.
func mayRetry(a Attempt, left time.Duration) (bool, time.Duration) {
	var after time.Duration
	if text, ok := strings.CutPrefix(a.Err, "retry after "); ok {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil {
			after = min(time.Duration(seconds*float64(time.Second)), left/3)
		}
	}
	if a.GaveUp || left < 100*time.Millisecond {
		return false, 0
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true, after
	case 0, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return a.Safe, after
	}
	return false, 0
}
