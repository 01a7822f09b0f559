// Package body holds the bodies of requests, and bounds the bytes of all bodies of a process.
package body

import (
	"errors"
	"io"
	"sync/atomic"
)

// Body is the complete body of a request. It is immutable, so that concurrent attempts send the same
// bytes. A nil *Body is empty.
//
// Its bytes count towards the budget until it was released as often as it was retained, and once more.
type Body struct {
	segments [][]byte
	size     int
	holders  atomic.Int32
	release  func() // Nil for a body without a budget.
}

// New returns a body of bytes that the caller does not modify any more. It counts towards no budget.
func New(data []byte) *Body {
	b := &Body{segments: [][]byte{data}, size: len(data)}
	b.holders.Store(1)
	return b
}

// Size returns the number of bytes.
func (b *Body) Size() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Segments returns the bytes, which must not be modified.
func (b *Body) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// String returns a copy of the bytes.
func (b *Body) String() string {
	var out []byte
	for _, s := range b.Segments() {
		out = append(out, s...)
	}
	return string(out)
}

// Retain keeps the body's bytes counted until another Release.
func (b *Body) Retain() {
	if b != nil {
		b.holders.Add(1)
	}
}

// Release ends the use of the body by one holder.
func (b *Body) Release() {
	if b != nil && b.holders.Add(-1) == 0 && b.release != nil {
		b.release()
	}
}

const (
	// firstSegment is the first buffer of a body of unknown size; each further one is twice as large.
	firstSegment = 4 << 10
	// maxSegment bounds one buffer, and so the memory that is reserved or used ahead of its bytes.
	maxSegment = 1 << 20
)

// ErrTooLarge is returned for a body beyond its own bound.
var ErrTooLarge = errors.New("the body is over its bound")

// Read reads a body of size bytes, or one that ends with io.EOF and has at most limit bytes if size is
// negative. It reserves the bytes before it reads them: all at once if the size is known. interrupt is
// called, perhaps after the end of Read, when the body has yielded to others; it must make r fail. The
// error is ErrNoRoom if the budget has no room or the body has yielded.
func (b *Budget) Read(r io.Reader, size, limit int, interrupt func()) (*Body, error) {
	in := b.begin(interrupt)
	body := &Body{release: in.release}
	body.holders.Store(1)
	err := body.read(r, size, limit, in)
	if in.received() && err == nil {
		return body, nil
	}
	in.release()
	if in.hasYielded() {
		err = ErrNoRoom
	}
	return nil, err
}

func (b *Body) read(r io.Reader, size, limit int, in *incoming) error {
	if size >= 0 && !in.reserve(size) {
		return ErrNoRoom
	}
	for next := firstSegment; b.size != size; next = min(2*next, maxSegment) {
		if size >= 0 {
			next = min(size-b.size, maxSegment)
		} else if !in.reserve(next) {
			return ErrNoRoom
		}
		segment, err := fill(r, make([]byte, next))
		if len(segment) > 0 {
			b.segments = append(b.segments, segment)
			b.size += len(segment)
		}
		switch {
		case size < 0 && b.size > limit:
			return ErrTooLarge
		case size < 0 && err == io.EOF:
			return nil
		case err == io.EOF && b.size < size:
			return io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return err
		}
	}
	return nil
}

// fill reads into a buffer until it is full or an error, and returns the part that was read.
func fill(r io.Reader, buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		read, err := r.Read(buffer[n:])
		n += read
		if err != nil {
			return buffer[:n:n], err
		}
	}
	return buffer, nil
}
