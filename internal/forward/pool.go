package forward

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/internal/httpconn"
)

const (
	// dialTimeout is a hundred times the latency between zones. A longer wait means an unreachable
	// endpoint or a lost packet, and nothing has been sent yet.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is longer than the longest deadline of callers: a running request ends at its
	// own deadline, not because of a network partition that may heal before it.
	unackedTimeout = 30 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint announces.
	idleMargin = time.Second
	// defaultIdleTime is assumed for an endpoint that announces no idle timeout.
	defaultIdleTime = 4 * time.Second
	// maxIdlePerEndpoint bounds this instance's idle connections to one endpoint; the other
	// instances hold connections to it as well.
	maxIdlePerEndpoint = 4
)

// target identifies the other side of a connection. The address alone is not enough: another
// endpoint may take it over.
type target struct {
	id   dispatch.EndpointID
	addr string
}

type idleConn struct {
	conn    *httpconn.Conn
	expires time.Time // When the endpoint may close it.
}

// pool holds idle connections to endpoints. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	idle map[target][]idleConn
}

func newPool() *pool {
	return &pool{idle: make(map[target][]idleConn)}
}

// get returns an idle connection that is usable for a request, or nil.
func (p *pool) get(t target, now time.Time) *httpconn.Conn {
	for {
		p.mu.Lock()
		list := p.idle[t]
		if len(list) == 0 {
			delete(p.idle, t)
			p.mu.Unlock()
			return nil
		}
		last := list[len(list)-1]
		p.idle[t] = list[:len(list)-1]
		p.mu.Unlock()
		last.conn.StopWatch()
		if now.Before(last.expires) && last.conn.CheckIdle() == nil {
			return last.conn
		}
		_ = last.conn.Close()
	}
}

// put returns a connection to the pool after an answer, or closes it if it cannot be reused.
func (p *pool) put(t target, conn *httpconn.Conn, resp *fasthttp.Response, now time.Time) {
	if resp.ConnectionClose() || !conn.Reusable() || conn.SetKeepAlive(true) != nil {
		_ = conn.Close()
		return
	}
	expires := now.Add(idleTime(string(resp.Header.Peek("Keep-Alive"))))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[t]) >= maxIdlePerEndpoint {
		_ = conn.Close()
		return
	}
	if conn.WatchIdle(func() { p.drop(t, conn) }) != nil {
		_ = conn.Close()
		return
	}
	p.idle[t] = append(p.idle[t], idleConn{conn: conn, expires: expires})
}

// drop closes a connection that became unusable while idle, unless it was taken meanwhile.
func (p *pool) drop(t target, conn *httpconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.idle[t], func(c idleConn) bool { return c.conn == conn })
	if i < 0 {
		return
	}
	p.idle[t] = slices.Delete(p.idle[t], i, i+1)
	_ = conn.Close()
}

// closeExpired closes connections that are past their idle timeout.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				_ = c.conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.conn.Close()
		}
	}
	clear(p.idle)
}

// idleTime returns how long a connection may stay idle, from a Keep-Alive header's timeout
// parameter in seconds.
func idleTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 && seconds < math.MaxInt32 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTime
}
