package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// sent is a request of a client and what came of it.
type sent struct {
	id, to string
	at     time.Time
	status int    // 0: no answer.
	reason string // Why there is none.
	ended  time.Time
}

// record is what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	file     *os.File
	start    time.Time
	sent     map[string]*sent
	order    []string
	arrivals []arrival
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), sent: map[string]*sent{}}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), fmt.Sprintf(format, args...))
}

func (r *record) write(at time.Time, text string) {
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", at.Sub(r.start).Seconds(), text)
}

func (r *record) arrived(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	what := "rejects"
	if a.ran {
		what = "runs"
	}
	r.write(a.at, fmt.Sprintf("endpoint %s %s request %s", a.endpoint, what, a.id))
}

func (r *record) begin(id, to string) *sent {
	s := &sent{id: id, to: to, at: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = s
	r.order = append(r.order, id)
	r.write(s.at, fmt.Sprintf("request %s is sent to %s", id, to))
	return s
}

func (r *record) end(s *sent, status int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.status, s.reason, s.ended = status, reason, time.Now()
	r.write(s.ended, fmt.Sprintf("request %s ends with status %d %s", s.id, status, reason))
}

// clients sends requests to the addresses that discovery names, each on a connection of its own.
type clients struct {
	fleet  *fleet
	record *record
	zone   string
	host   string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	n         int
	wg        sync.WaitGroup
}

// resolve returns an address by the directory, whose answer it keeps for the time that the answer states.
func (c *clients) resolve() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		for k, i := range rand.Perm(len(c.fleet.instances)) {
			if k < 3 && c.ask(c.fleet.instances[i].discovery) {
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

func (c *clients) ask(directory string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + directory + "/damaskcove/resolve?name=" + c.host + "&region=r&zone=" + c.zone)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	ttl, err := time.ParseDuration(answer.TTL)
	if err != nil {
		return false
	}
	c.addresses, c.expires = answer.Addresses, time.Now().Add(min(ttl, 5*time.Second))
	return true
}

// run sends requests at a rate until stop is closed, and waits for their answers.
func (c *clients) run(method, path string, perSecond float64, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	defer c.wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		to := c.resolve()
		if to == "" {
			continue
		}
		c.mu.Lock()
		c.n++
		id := fmt.Sprintf("%s-%05d%08x", c.zone[len(c.zone)-1:], c.n, rand.Uint32())
		c.mu.Unlock()
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(method, path, id, to)
		}()
	}
}

const deadline = 5 * time.Second

// send sends one request on a new connection.
func (c *clients) send(method, path, id, to string) {
	s := c.record.begin(id, to)
	conn, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		c.record.end(s, 0, "no connection")
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	body := ""
	if method != http.MethodGet {
		body = "order " + id
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", method, path, c.host, id, deadline.Milliseconds(), len(body), body)
	if err != nil {
		c.record.end(s, 0, err.Error())
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.record.end(s, 0, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		c.record.end(s, 0, err.Error())
		return
	}
	c.record.end(s, resp.StatusCode, "")
}
