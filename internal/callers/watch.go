package callers

import (
	"context"
	"errors"
	"os"
	"time"
)

// disconnectWatcher reads ahead on a caller's connection while its request is served, to detect that
// the caller has disconnected. What it reads stays buffered for the next request.
type disconnectWatcher struct {
	conn *conn
	done chan struct{}
}

func (c *conn) watchDisconnect(cancel context.CancelFunc) *disconnectWatcher {
	w := &disconnectWatcher{conn: c, done: make(chan struct{})}
	_ = c.nc.SetReadDeadline(time.Time{})
	go w.run(cancel)
	return w
}

func (w *disconnectWatcher) run(cancel context.CancelFunc) {
	defer close(w.done)
	br := w.conn.br
	for br.Buffered() < br.Size() {
		if _, err := br.Peek(br.Buffered() + 1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				cancel()
			}
			return
		}
	}
}

// stop ends the read-ahead and waits for it to return.
func (w *disconnectWatcher) stop() {
	_ = w.conn.nc.SetReadDeadline(time.Unix(1, 0))
	<-w.done
}
