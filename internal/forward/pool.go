package forward

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/internal/httpconn"
)

const (
	// dialTimeout is a hundred times the way between zones; a longer wait means a dark
	// endpoint or a lost packet, and nothing was sent yet.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is over the longest deadline of callers: a request under way ends with its
	// own deadline, not with a cut of the network that may heal before.
	unackedTimeout = 30 * time.Second
	// idleMargin is kept to the idle time that an endpoint announces.
	idleMargin = time.Second
	// idleDefault is the idle time of an endpoint that announces none.
	idleDefault = 4 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint, of which each instance has its part.
	maxIdlePerEndpoint = 4
)

// target is where a connection leads. Another endpoint may take over an address.
type target struct {
	id   dispatch.EndpointID
	addr string
}

type idleConn struct {
	conn  *httpconn.Conn
	until time.Time // The endpoint may close it after.
}

// pool keeps idle connections to endpoints. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	idle map[target][]idleConn
}

func newPool() *pool {
	return &pool{idle: make(map[target][]idleConn)}
}

// take returns an idle connection that is fit for a request, or nil.
func (p *pool) take(t target, now time.Time) *httpconn.Conn {
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
		if now.Before(last.until) && last.conn.CheckIdle() == nil {
			return last.conn
		}
		_ = last.conn.Close()
	}
}

// put keeps a connection after an answer, where both sides will go on with it.
func (p *pool) put(t target, conn *httpconn.Conn, resp *fasthttp.Response, now time.Time) {
	if resp.ConnectionClose() || !conn.FullyRead() || conn.SetKeepAlive(true) != nil {
		_ = conn.Close()
		return
	}
	until := now.Add(idleTime(string(resp.Header.Peek("Keep-Alive"))))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[t]) >= maxIdlePerEndpoint {
		_ = conn.Close()
		return
	}
	p.idle[t] = append(p.idle[t], idleConn{conn: conn, until: until})
}

// sweep closes connections that have outlived their idle time.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
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

// clear closes all connections.
func (p *pool) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.conn.Close()
		}
	}
	clear(p.idle)
}

// idleTime returns how long a connection may stay idle, from a Keep-Alive header.
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
	return idleDefault
}
