package entry

import (
	"net"
	"time"

	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

// callerCheckInterval is the time between two looks at whether a caller is still there.
const callerCheckInterval = 100 * time.Millisecond

// watchCaller calls gone once when the caller closes its connection while its request
// runs. The HTTP library reads nothing from the connection meanwhile, and does not
// tell. The function returned ends the watch and must be called before the library
// reads again.
func watchCaller(c net.Conn, gone func()) (end func()) {
	w := &callerWatch{conn: c, gone: gone, stop: make(chan struct{}), ended: make(chan struct{})}
	w.timer = time.AfterFunc(callerCheckInterval, w.run)
	return w.end
}

// callerWatch looks at one caller's connection during one request.
type callerWatch struct {
	conn  net.Conn
	gone  func()
	timer *time.Timer
	stop  chan struct{}
	ended chan struct{} // Closed when run has returned.
}

// run looks again and again until the caller has gone or the watch ends.
func (w *callerWatch) run() {
	defer close(w.ended)
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		if sockpeek.Look(w.conn) == sockpeek.Closed {
			w.gone()
			return
		}
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// end waits for a look that is under way.
func (w *callerWatch) end() {
	if w.timer.Stop() {
		return
	}
	close(w.stop)
	<-w.ended
}
