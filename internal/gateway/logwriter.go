package gateway

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logBufferBytes bounds the lines that are not written yet.
	logBufferBytes = 256 << 10
	// logFlushInterval is how long lines are collected before they are written together.
	logFlushInterval = 100 * time.Millisecond
)

// logWriter writes lines in the background. It never blocks: lines that find its buffer full are counted and dropped.
type logWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > logBufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	notify(w.wake)
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(logFlushInterval)
		}
		w.mu.Lock()
		lines := w.pending
		w.pending = spare[:0]
		w.mu.Unlock()
		// There is nowhere to report that the log can't be written.
		_, _ = w.out.Write(lines)
		spare = lines
	}
}

// Close writes the queued lines and stops the writer.
func (w *logWriter) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	notify(w.wake)
	close(w.wake)
	w.mu.Unlock()
	<-w.done
	return nil
}
