package membership

import "time"

// Default settings of a Config.
const (
	DefaultHeartbeat              = 500 * time.Millisecond
	DefaultSuspectAfter           = 2 * time.Second
	DefaultRemoveAfter            = 10 * time.Second
	DefaultMassFailureShare       = 0.25
	DefaultMassFailureRemoveAfter = 10 * time.Minute
	DefaultBatchInterval          = 500 * time.Millisecond
	DefaultWriteInterval          = time.Second
	DefaultWriterStagger          = 3 * time.Second
	DefaultJoinInterval           = 2 * time.Second
	DefaultJoinReadWait           = time.Second
	DefaultJoinWriteWait          = 5 * time.Second
	DefaultRetryMin               = time.Second
	DefaultRetryMax               = time.Minute
	DefaultSyncInterval           = 2 * time.Second
)

// maxWriters is the number of instances that may write the roster. They are ranked; each
// waits until those ranked above it have had time to write.
const maxWriters = 5

// maxFactsPerMessage bounds the facts sent to one neighbour at once.
const maxFactsPerMessage = 64

// maxFacts bounds the facts that a machine stores.
const maxFacts = 16384

// Config holds the settings of a Machine. Zero values take the defaults.
type Config struct {
	Fleet                  string
	Heartbeat              time.Duration // Between two heartbeats to a neighbour.
	SuspectAfter           time.Duration // Time without a heartbeat after which a neighbour is voted unreachable.
	RemoveAfter            time.Duration // Time that an instance stays dead before it is removed from the roster.
	MassFailureShare       float64       // Missing share of the roster above which MassFailureRemoveAfter applies.
	MassFailureRemoveAfter time.Duration
	BatchInterval          time.Duration // Time during which roster changes are batched into one write.
	WriteInterval          time.Duration // Minimum time between two roster writes by one instance.
	WriterStagger          time.Duration // Additional delay per writer rank.
	JoinInterval           time.Duration // Between two join requests.
	JoinReadWait           time.Duration // Wait for an instance's roster before the store is read.
	JoinWriteWait          time.Duration // Wait for another instance to add this one to the roster, before it adds itself.
	RetryMin               time.Duration // First delay after a failed store call; doubled up to RetryMax.
	RetryMax               time.Duration
	SyncInterval           time.Duration // Time that a neighbour's facts differ before all of them are sent.
}

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.RemoveAfter, DefaultRemoveAfter)
	setDefault(&c.MassFailureShare, DefaultMassFailureShare)
	setDefault(&c.MassFailureRemoveAfter, DefaultMassFailureRemoveAfter)
	setDefault(&c.BatchInterval, DefaultBatchInterval)
	setDefault(&c.WriteInterval, DefaultWriteInterval)
	setDefault(&c.WriterStagger, DefaultWriterStagger)
	setDefault(&c.JoinInterval, DefaultJoinInterval)
	setDefault(&c.JoinReadWait, DefaultJoinReadWait)
	setDefault(&c.JoinWriteWait, DefaultJoinWriteWait)
	setDefault(&c.RetryMin, DefaultRetryMin)
	setDefault(&c.RetryMax, DefaultRetryMax)
	setDefault(&c.SyncInterval, DefaultSyncInterval)
	return c
}

func setDefault[T time.Duration | float64](d *T, value T) {
	if *d <= 0 {
		*d = value
	}
}

// Counters counts events of a Machine and the input that it rejected.
type Counters struct {
	OtherFleet     uint64
	Malformed      uint64
	OldIncarnation uint64 // From or about an earlier incarnation of an instance.
	Unknown        uint64 // From an instance or incarnation that is not on the roster.
	StaleRosters   uint64 // Rosters below the current generation.
	Votes          uint64 // Votes cast that a neighbour is unreachable.
	Pauses         uint64 // Times that this instance was paused.
	Rejoins        uint64 // Times that it was removed from the roster and joined again.
	RosterWrites   uint64
	RosterReads    uint64
	Conflicts      uint64 // Writes rejected because another instance wrote first, or with unknown result.
	Syncs          uint64 // Times that all facts were sent to a neighbour.
}
