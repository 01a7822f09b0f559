package soak

import (
	"fmt"
	"sync"
	"time"
)

// Outcome is how a run at an upstream ended.
type Outcome int

// Outcomes of a run.
const (
	OutcomeRunning  Outcome = iota
	OutcomeAnswered         // It answered.
	OutcomeDeadline         // The deadline that it got was reached.
	OutcomeDropped          // Its connection was closed while it was at work.
	OutcomeBroken           // It broke off the connection itself.
)

// Run is what an upstream saw of a request.
type Run struct {
	Request, Upstream, Service, Host, Path string

	Arrived, Ended time.Time
	Given          time.Duration // The time left, as the instance told it; unlimitedTime if it did not.
	Lasts          time.Duration // How long the work takes, once it has begun.
	Refused        bool          // It was not executed.
	Limit          *float64      // Requests a second that the answer names as the upstream's limit; nil if it names none.
	HoldOff        time.Duration // For which the upstream wanted no more requests of the machine, from Ended.
	Outcome        Outcome
	Status         int
	Accounts       []string // The account names that it received, from the head and the trailer.
	KeyIn          string   // The part of the request that holds a key: "header", "trailer" or "body"; empty for none.
	Early          Early
	How            string // Describes an early answer, or one without end.
}

// Early is how an upstream answered a request whose body it had not read.
type Early string

// Early answers.
const (
	EarlyNone     Early = ""
	EarlyPart     Early = "part" // It broke off within the answer.
	EarlyComplete Early = "complete"
)

// unlimitedTime is the time left of a run that was given none.
const unlimitedTime = 24 * time.Hour

// Attempt is what a caller saw of a request.
type Attempt struct {
	ID, Host, Path string
	Safe           bool
	Direct         bool   // A check of one instance, on a route that was changed.
	Machine        string // That the caller was connected to.
	Life           int    // Which process of the machine.
	Kept           bool   // An earlier request was answered on the connection.
	Behind         bool   // Sent behind another that was unanswered.

	Credential Credential

	Began    time.Time // When its first byte was sent.
	Sent     time.Time // When its last byte was sent; when the first one was, if the caller did not send all.
	Ended    time.Time
	Deadline time.Duration
	Status   int    // 0 without a complete answer.
	Stamp    string // The upstream's signature.
	Whole    bool   // The body is the whole body of the upstream's answer.
	Leaving  bool   // The answer says that the upstream is leaving.
	GaveUp   bool   // The caller's deadline was reached, or the caller left.
	Err      string
}

// Route is a route of a configuration.
type Route struct {
	Host, Prefix string
	Services     []string // More than one for a split.
	Safe         bool
	Anonymous    bool // It needs no key.
	Timeout      time.Duration
}

// Version is one version of the configuration.
type Version struct {
	Number      uint32
	Routes      map[string]Route    // By name.
	Accounts    map[string][]string // Keys by account; nil if accounts are not enabled.
	Sent, Acked time.Time
}

// Window is a span of a disruption or of planned work.
type Window struct {
	What     string
	Machine  string // Empty for the store or an upstream.
	Upstream string
	Frozen   bool // The machine's process stood still.
	Kind     WindowKind
	From, To time.Time
}

// WindowKind tells what a window excuses.
type WindowKind int

// Kinds of windows.
const (
	WindowStore         WindowKind = iota // The store was down or slow or lost responses.
	WindowStoreSome                       // The store served some machines only, or forgot its history.
	WindowMachine                         // A machine, its process or its links were disrupted.
	WindowMachineStop                     // SIGTERM of a machine, until it runs again.
	WindowUpstream                        // An upstream was disrupted.
	WindowReload                          // SIGHUP of a machine.
	WindowLink                            // The links of an upstream were disrupted.
	WindowUpstreamLimit                   // An upstream named a limit; it excuses nothing.
	WindowStarved                         // The run itself got no processor time, and so perhaps no process did.
)

// OwnEnd is the end of a process that nobody ordered.
type OwnEnd struct {
	Machine string
	At      time.Time
	Text    string
}

// Records is all that was seen in a run.
type Records struct {
	Attempts []Attempt
	Runs     []Run
	Versions []Version
	Windows  []Window
	Left     map[string]time.Time // When an upstream's leaving was first acknowledged, by its id.
	Ended    map[string]time.Time // When an upstream ended.
	OwnEnds  []OwnEnd             // Processes that ended by themselves.
	Memory   map[string]int64     // Most bytes that a process of a machine used.
	Leaks    []Leak
	Logs     map[string][]string `json:"-"` // Lines that an instance logged, by machine.
}

// recorder collects Records.
type recorder struct {
	mu       sync.Mutex
	records  Records
	runs     []*Run
	timeline []string
	began    time.Time
}

func newRecorder() *recorder {
	return &recorder{records: Records{Left: map[string]time.Time{}, Ended: map[string]time.Time{}, Memory: map[string]int64{}, Logs: map[string][]string{}}, began: time.Now()}
}

func (r *recorder) ran(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func (r *recorder) ended(run *Run, outcome Outcome, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended, run.Outcome, run.Status = time.Now(), outcome, status
}

func (r *recorder) attempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Attempts = append(r.records.Attempts, a)
}

func (r *recorder) left(upstream string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.records.Left[upstream]; !ok {
		r.records.Left[upstream] = at
	}
}

// returned records that an upstream is registered as ready again.
func (r *recorder) returned(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records.Left, upstream)
}

func (r *recorder) upstreamEnded(upstream string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Ended[upstream] = at
}

func (r *recorder) version(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Versions = append(r.records.Versions, v)
}

// past adds a window that is over.
func (r *recorder) past(w Window) {
	r.printf("%s for %v", w.What, w.To.Sub(w.From))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Windows = append(r.records.Windows, w)
}

// window begins a window; the returned function ends it.
func (r *recorder) window(w Window) (end func()) {
	r.printf("begin %s %s%s", w.What, w.Machine, w.Upstream)
	w.From, w.To = time.Now(), time.Now().Add(time.Hour)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := len(r.records.Windows)
	r.records.Windows = append(r.records.Windows, w)
	return func() {
		r.printf("end %s %s%s", w.What, w.Machine, w.Upstream)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.records.Windows[k].To = time.Now()
	}
}

func (r *recorder) ownEnd(machine, text string) {
	r.printf("own end: %s, %s", machine, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.OwnEnds = append(r.records.OwnEnds, OwnEnd{machine, time.Now(), text})
}

// memory records the memory that a process of a machine used at its peak.
func (r *recorder) memory(machine string, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Memory[machine] = max(r.records.Memory[machine], bytes)
}

// leak records a key that was seen where none may be.
func (r *recorder) leak(l Leak) {
	l.At = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Leaks = append(r.records.Leaks, l)
}

// timeFormat is the format of the times in a report.
const timeFormat = "15:04:05.000"

// logs adds what an instance logged.
func (r *recorder) logs(machine string, lines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Logs[machine] = lines
}

// printf adds a line to the timeline.
func (r *recorder) printf(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, fmt.Sprintf("%s +%.3f %s", now.UTC().Format(timeFormat), now.Sub(r.began).Seconds(), fmt.Sprintf(format, args...)))
}

// finish returns the records.
func (r *recorder) finish() (Records, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		r.records.Runs = append(r.records.Runs, *run)
	}
	return r.records, r.timeline
}
