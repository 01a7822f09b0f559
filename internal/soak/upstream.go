package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

const (
	upstreamSlots = 4
	upstreamQueue = 16
	upstreamIdle  = 10 * time.Second // Idle connections are closed after it.
	coldTime      = 3 * time.Second  // After its start an upstream takes coldFactor times as long.
	coldFactor    = 2
	headerWork    = "X-Work-Ms" // How long a request takes, in milliseconds.
	headerLeaving = "Server-Leaving"
	headerLimit   = "Server-Limit"
)

// service is a service of the deployment, with its upstreams by zone.
type service struct {
	name   string
	counts [3]int
}

// upstream is a stand-in of one upstream.
type upstream struct {
	id, service, zone, addr string
	name                    string // Of this incarnation: the id, but for an upstream that started again under its id.
	store                   *standin.Store
	recorder                *recorder
	server                  *http.Server
	link                    *link
	slots                   chan struct{}
	waiting                 atomic.Int64
	mark                    keyMark
	started                 time.Time

	mu           sync.Mutex
	sequence     int
	slow         float64  // Factor of the work time.
	failShare    float64  // Share of the requests that fail.
	failHow      string   // "errors", "hang" or "reset".
	lostShare    float64  // Share of the requests whose answer is lost.
	garbled      float64  // Share of the answers that are garbled.
	holdOff      int      // Seconds for which a caller that is turned away is to send nothing; zero while none is.
	limit        *float64 // Requests a second that it names in its answers; nil for none.
	earlyShare   float64  // Share of the long requests that are answered before they are read.
	endlessShare float64  // Share of the requests that get an answer without end.
	leaving      bool
	unlisted     bool // It leaves, and nothing but the removal of its registration says so.
	gone         bool
}

func startUpstream(s *standin.Store, r *recorder, mark keyMark, id, name, service, zone, addr string) (*upstream, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("start upstream %s: %w", name, err)
	}
	u := &upstream{
		id: id, name: name, service: service, zone: zone, addr: addr, store: s, recorder: r, mark: mark,
		slots: make(chan struct{}, upstreamSlots), started: time.Now(), slow: 1, link: newLink(l),
	}
	u.link.mark = mark
	u.link.leaked = func() { r.leak(Leak{Place: LeakUpstream, Upstream: name, Text: name}) }
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: upstreamIdle}
	go func() { _ = u.server.Serve(u.link) }()
	return u, nil
}

// register writes the upstream's registration.
func (u *upstream) register() error {
	entry := u.entry()
	at, err := u.store.PutJSON("servers/"+u.id, entry)
	if err == nil && entry["state"] == "draining" {
		u.recorder.left(u.name, at)
	}
	return err
}

// entry returns the upstream's next registration.
func (u *upstream) entry() map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	cold := max(coldTime-time.Since(u.started), 0)
	return map[string]any{
		"service": u.service, "address": u.addr, "zone": u.zone, "version": "1", "capacity": upstreamSlots, "state": state,
		"warmup_left": fmt.Sprintf("%dms", cold.Milliseconds()), "sequence": u.sequence, "born": u.started.UnixMilli(),
	}
}

// deregister removes the registration.
func (u *upstream) deregister() { u.recorder.left(u.name, u.store.Delete("servers/"+u.id)) }

// leave stops the upstream as planned: it serves for a time after its report and exits.
func (u *upstream) leave(report bool, serve time.Duration) error {
	u.announce()
	if report {
		if err := u.register(); err != nil {
			return err
		}
	} else {
		u.deregister()
	}
	time.Sleep(serve)
	u.deregister()
	u.end()
	return nil
}

// announce makes the upstream say in all its answers that it is leaving.
func (u *upstream) announce() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// leaveUnlisted stops the upstream without a report: its registration is removed, it serves for a time and exits.
func (u *upstream) leaveUnlisted(serve time.Duration) {
	u.change(func(u *upstream) { u.unlisted = true })
	u.deregister()
	time.Sleep(serve)
	u.end()
}

// leaveCutOff stops an upstream that cannot reach the store: its registration stays as it was until it expires.
func (u *upstream) leaveCutOff(expires, serve time.Duration) {
	u.announce()
	time.Sleep(expires)
	u.deregister()
	time.Sleep(serve)
	u.end()
}

// end closes the upstream's connections at once.
func (u *upstream) end() {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	u.recorder.upstreamEnded(u.name, time.Now())
	_ = u.server.Close()
}

func (u *upstream) isGone() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gone || u.leaving || u.unlisted
}

// change sets faults under the lock.
func (u *upstream) change(set func(u *upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	set(u)
}

// fate is how one request is treated.
type fate struct {
	slow    float64
	fail    string
	garble  string // Empty for a whole answer.
	lost    bool
	early   bool
	endless bool
	leaving bool
	limit   *float64
	holdOff int // Seconds; the request is turned away unless it is zero.
}

func (u *upstream) drawFate() fate {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := fate{slow: u.slow, leaving: u.leaving, limit: u.limit, holdOff: u.holdOff, lost: rand.Float64() < u.lostShare}
	if rand.Float64() < u.failShare {
		f.fail = u.failHow
	}
	f.early = u.earlyShare > 0 && rand.Float64() < u.earlyShare
	f.endless = u.endlessShare > 0 && rand.Float64() < u.endlessShare
	if rand.Float64() < u.garbled {
		f.garble = garbles[rand.IntN(len(garbles))]
	}
	if time.Since(u.started) < coldTime {
		f.slow *= coldFactor
	}
	return f
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h := w.Header()
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(upstreamIdle.Seconds())))
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(u.slots), u.waiting.Load(), upstreamSlots))
	h.Set("Instance-Id", u.id)
	f := u.drawFate()
	if f.leaving {
		h.Set("Connection", "close")
		h.Set(headerLeaving, "1")
	}
	if f.limit != nil {
		h.Set(headerLimit, strconv.FormatFloat(*f.limit, 'f', -1, 64))
	}
	if r.URL.Path == "/healthz" {
		if f.leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left := headerMs(r, "Deadline-Ms")
	run := &Run{Request: id, Upstream: u.name, Service: u.service, Host: r.Host, Path: r.URL.Path, Arrived: arrived, Given: left, Lasts: f.takes(r), Limit: f.limit}
	scan := &keyScanner{mark: u.mark}
	run.Accounts, run.KeyIn = accountNames(r), u.mark.keyIn(r, scan)
	switch {
	case f.holdOff > 0:
	case f.early && (r.ContentLength < 0 || r.ContentLength >= earlyBody):
		u.answerEarly(w, r, run)
		return
	case f.endless:
		u.answerEndlessly(w, run)
		return
	}
	_, _ = io.Copy(scan, r.Body) // Only then does the request's context end with its connection.
	run.Accounts, run.KeyIn = accountNames(r), u.mark.keyIn(r, scan)
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	if f.holdOff > 0 {
		run.Refused, run.HoldOff, run.Ended = true, time.Duration(f.holdOff)*time.Second, time.Now()
		u.recorder.ran(run)
		h.Set("Not-Executed", "1")
		h.Set("Retry-After", strconv.Itoa(f.holdOff))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !u.enter(r, deadline) {
		run.Refused = true
		u.recorder.ran(run)
		h.Set("Not-Executed", "1")
		if f.garble == garbleTwice {
			writeGarbled(w, f.garble, http.StatusServiceUnavailable, h, "")
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.recorder.ran(run)
	outcome, status := u.work(r, f, deadline)
	if outcome == OutcomeAnswered && (f.garble == garbleBody || f.garble == garbleHead) {
		outcome = OutcomeBroken
	}
	u.recorder.ended(run, outcome, status)
	switch {
	case outcome == OutcomeDropped:
	case f.lost || f.fail == "reset":
		abort(w)
	default:
		h.Set("Server-Stamp", "stamp."+u.name+"."+id)
		body := responseBody(u.service, u.name, id)
		if f.garble != "" && f.garble != garbleTwice {
			writeGarbled(w, f.garble, status, h, body)
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// enter waits for a slot. It returns false if the request is rejected instead.
func (u *upstream) enter(r *http.Request, deadline *time.Timer) bool {
	if u.waiting.Add(1) > upstreamQueue {
		u.waiting.Add(-1)
		return false
	}
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return true
	case <-deadline.C:
	case <-r.Context().Done():
	}
	return false
}

// takes returns how long the work on a request takes.
func (f fate) takes(r *http.Request) time.Duration {
	takes := time.Duration(float64(headerMs(r, headerWork)) * f.slow)
	switch f.fail {
	case "hang":
		return time.Hour
	case "errors", "reset":
		return takes / 4
	}
	return takes
}

// work takes the request's time and returns how it ended.
func (u *upstream) work(r *http.Request, f fate, deadline *time.Timer) (Outcome, int) {
	done := time.NewTimer(f.takes(r))
	defer done.Stop()
	select {
	case <-done.C:
	case <-deadline.C:
		return OutcomeDeadline, http.StatusGatewayTimeout
	case <-r.Context().Done():
		return OutcomeDropped, 0
	}
	switch {
	case f.lost, f.fail == "reset":
		return OutcomeBroken, 0
	case f.fail == "errors":
		return OutcomeAnswered, http.StatusInternalServerError
	}
	return OutcomeAnswered, http.StatusOK
}

func headerMs(r *http.Request, name string) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return unlimitedTime
	}
	return time.Duration(ms) * time.Millisecond
}

// abort resets the request's connection.
func abort(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if c, _, err := hijacker.Hijack(); err == nil {
			reset(c)
		}
	}
}

// responseBody is the body of an upstream's answer to a request.
func responseBody(service, upstream, request string) string {
	return strings.Join([]string{service, upstream, request, strings.Repeat(".", 300)}, " ") + "\n"
}
