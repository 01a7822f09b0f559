package membership

import "time"

// Default settings of a Config.
const (
	DefaultHeartbeat        = 500 * time.Millisecond
	DefaultSuspectAfter     = 2 * time.Second
	DefaultStrikeAfter      = 10 * time.Second
	DefaultStormShare       = 0.25
	DefaultStormStrikeAfter = 10 * time.Minute
	DefaultBatchInterval    = 500 * time.Millisecond
	DefaultWriteInterval    = time.Second
	DefaultWriterStep       = 3 * time.Second
	DefaultJoinInterval     = 2 * time.Second
	DefaultJoinReadWait     = time.Second
	DefaultJoinWriteWait    = 5 * time.Second
	DefaultRetryMin         = time.Second
	DefaultRetryMax         = time.Minute
	DefaultSyncInterval     = 2 * time.Second
)

// writers is the number of instances that may write the roster, each after the one before
// it has let its turn pass.
const writers = 5

// maxFactsPerMessage bounds the facts sent to one neighbour at once.
const maxFactsPerMessage = 64

// maxFacts bounds the facts that a machine holds.
const maxFacts = 16384

// Config holds the settings of a Machine. Zero values take the defaults.
type Config struct {
	Fleet            string
	Heartbeat        time.Duration // Between two heartbeats to a neighbour.
	SuspectAfter     time.Duration // Silence after which a neighbour votes.
	StrikeAfter      time.Duration // For which an instance is dead before it is taken off the roster.
	StormShare       float64       // Share of the roster that is missing, above which StormStrikeAfter holds.
	StormStrikeAfter time.Duration
	BatchInterval    time.Duration // For which changes of the roster are gathered into one write.
	WriteInterval    time.Duration // Between two writes of the roster by one instance.
	WriterStep       time.Duration // Turn of each writer before the next one's.
	JoinInterval     time.Duration // Between two requests to join.
	JoinReadWait     time.Duration // For an instance to answer, before the store is read.
	JoinWriteWait    time.Duration // For an instance to put this one on the roster, before it does so itself.
	RetryMin         time.Duration // After a failed call of the store; doubled up to RetryMax.
	RetryMax         time.Duration
	SyncInterval     time.Duration // For which a neighbour's facts differ before all are sent.
}

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.StrikeAfter, DefaultStrikeAfter)
	setDefault(&c.StormShare, DefaultStormShare)
	setDefault(&c.StormStrikeAfter, DefaultStormStrikeAfter)
	setDefault(&c.BatchInterval, DefaultBatchInterval)
	setDefault(&c.WriteInterval, DefaultWriteInterval)
	setDefault(&c.WriterStep, DefaultWriterStep)
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

// Counters counts what a Machine did and what it refused.
type Counters struct {
	OtherFleet     uint64
	Malformed      uint64
	OldIncarnation uint64 // From or about a former life of an instance.
	Unknown        uint64 // From an instance or incarnation that is not on the roster.
	LowerRoster    uint64 // Rosters below the generation held.
	Votes          uint64 // Votes cast that a neighbour is silent.
	Pauses         uint64 // Times that this instance was paused.
	Rejoins        uint64 // Times that it was taken off the roster and came back.
	RosterWrites   uint64
	RosterReads    uint64
	Conflicts      uint64 // Writes that lost to another instance's.
	Syncs          uint64 // Exchanges of all facts.
}
