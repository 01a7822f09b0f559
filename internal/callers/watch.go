package callers

import (
	"context"
	"errors"
	"os"
	"time"
)

// watch reads ahead on a caller's connection while its request is served, to learn that
// the caller has left. What it reads stays buffered for the next request.
type watch struct {
	conn *conn
	done chan struct{}
}

func (c *conn) watch(gone context.CancelFunc) *watch {
	w := &watch{conn: c, done: make(chan struct{})}
	_ = c.nc.SetReadDeadline(time.Time{})
	go w.run(gone)
	return w
}

func (w *watch) run(gone context.CancelFunc) {
	defer close(w.done)
	br := w.conn.br
	for br.Buffered() < br.Size() {
		if _, err := br.Peek(br.Buffered() + 1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				gone()
			}
			return
		}
	}
}

// end stops the watch.
func (w *watch) end() {
	_ = w.conn.nc.SetReadDeadline(time.Unix(1, 0))
	<-w.done
}
