package entry

import (
	"net"
	"time"

	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

// callerCheckInterval is the time between two checks of a caller's connection.
const callerCheckInterval = 100 * time.Millisecond

// watchCaller calls onClose once if the caller closes its connection while its request
// runs. fasthttp does not read from the connection during a request and so does not notice.
// The returned function stops the watch; it must be called before fasthttp reads again.
func watchCaller(c net.Conn, onClose func()) (stopWatch func()) {
	w := &callerWatch{conn: c, onClose: onClose, stop: make(chan struct{}), done: make(chan struct{})}
	w.timer = time.AfterFunc(callerCheckInterval, w.run)
	return w.stopAndWait
}

// callerWatch checks one caller's connection during one request.
type callerWatch struct {
	conn    net.Conn
	onClose func()
	timer   *time.Timer
	stop    chan struct{}
	done    chan struct{} // Closed when run has returned.
}

// run checks periodically until the caller has closed the connection or the watch is stopped.
func (w *callerWatch) run() {
	defer close(w.done)
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		if sockpeek.Peek(w.conn) == sockpeek.Closed {
			w.onClose()
			return
		}
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// stopAndWait stops the watch and waits for a running check.
func (w *callerWatch) stopAndWait() {
	if w.timer.Stop() {
		return
	}
	close(w.stop)
	<-w.done
}
