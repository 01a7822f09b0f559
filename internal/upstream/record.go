package upstream

import (
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Start is one start of a request at an endpoint.
type Start struct {
	Endpoint fleet.Endpoint `json:"endpoint"`
	Caller   string         `json:"caller"` // Remote address of the connection.
	Instance string         `json:"instance"`
	At       time.Time      `json:"at"`
}

// Record holds the starts of one request ID at the endpoints of a Host.
type Record struct {
	ID            string  `json:"id"`
	NonIdempotent bool    `json:"order"` // By method and path; see Spec.NonIdempotentPaths.
	Account       string  `json:"account"`
	Starts        []Start `json:"starts"`
	Finished      int     `json:"finished"` // Starts that ran to their end.
}

// Recorder counts starts by request ID. It is safe for concurrent use.
type Recorder struct {
	mu               sync.Mutex
	recordIdempotent bool
	records          map[string]*Record
	unnamed          uint64
}

// NewRecorder returns an empty recorder. Idempotent requests, which may be retried, are recorded only
// if recordIdempotent is true.
func NewRecorder(recordIdempotent bool) *Recorder {
	return &Recorder{recordIdempotent: recordIdempotent, records: make(map[string]*Record)}
}

// started records a start and returns the number of starts of the request ID so far. It returns 1 for
// a start that is not recorded: one without a request ID, or an idempotent one unless recordIdempotent.
func (r *Recorder) started(id, account string, nonIdempotent bool, s Start) int {
	if !nonIdempotent && !r.recordIdempotent {
		return 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" {
		r.unnamed++
		return 1
	}
	record, ok := r.records[id]
	if !ok {
		record = &Record{ID: id, NonIdempotent: nonIdempotent, Account: account}
		r.records[id] = record
	}
	record.Starts = append(record.Starts, s)
	return len(record.Starts)
}

func (r *Recorder) finished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, ok := r.records[id]; ok {
		record.Finished++
	}
}

// Starts returns the number of starts of a request ID.
func (r *Recorder) Starts(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[id]
	if !ok {
		return 0
	}
	return len(record.Starts)
}

// Record returns a copy of the record of a request ID.
func (r *Recorder) Record(id string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[id]
	if !ok {
		return Record{}, false
	}
	out := *record
	out.Starts = append([]Start(nil), record.Starts...)
	return out, true
}

// Summary holds counts over all records.
type Summary struct {
	Requests      int      `json:"requests"` // Request IDs that started at least once.
	NonIdempotent int      `json:"orders"`   // Those of them that are not idempotent.
	Starts        int      `json:"starts"`
	Duplicated    []string `json:"doubled"` // IDs of non-idempotent requests that started more than once.
	Unnamed       uint64   `json:"unnamed"` // Starts without a request ID.
}

// Summary returns the counts so far.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{Requests: len(r.records), Unnamed: r.unnamed, Duplicated: []string{}}
	for id, record := range r.records {
		s.Starts += len(record.Starts)
		if !record.NonIdempotent {
			continue
		}
		s.NonIdempotent++
		if len(record.Starts) > 1 {
			s.Duplicated = append(s.Duplicated, id)
		}
	}
	return s
}
