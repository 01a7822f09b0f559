package claim

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// benchTicket returns a ticket whose instance IDs have a realistic length.
func benchTicket(i int) Ticket {
	return Ticket{
		Fleet:   "qalqan",
		Home:    fleet.Ref{ID: "entry-almaty1-017", Incarnation: 1_772_000_000_000},
		Witness: fleet.Ref{ID: "entry-almaty2-023", Incarnation: 1_772_000_000_001},
		Service: "cutting-orders",
		Account: fleet.Account("shop-" + strconv.Itoa(10_000+i)),
		Expires: testExpiry,
	}
}

// runOrder runs one request through a home and a witness and returns the number of messages
// and, if encode is set, their encoded bytes.
func runOrder(b *testing.B, home, witness *Machine, now time.Time, s Submission, encode bool) (messages, size int) {
	effects := home.Submit(now, RoleHome, s)
	current := home
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch effect := effect.(type) {
		case Send:
			messages++
			msg := effect.Message
			if encode {
				size += roundTrip(b, &msg)
			}
			msg.Ticket = s.Ticket
			from := current.self
			current = home
			if effect.To == witness.self {
				current = witness
			}
			effects = append(effects, current.Deliver(now, from, msg)...)
		case Dispatch:
			effects = append(effects, home.Finish(now, s.Key, Outcome{Result: ResultAnswered, Answer: bytes.Clone(benchAnswer)})...)
			current = home
		}
	}
	return messages, size
}

// benchAnswer has the size of a small order confirmation with its headers.
var benchAnswer = make([]byte, 300)

// roundTrip encodes and decodes a message and returns its encoded length in bytes.
func roundTrip(b *testing.B, msg *Message) int {
	data, err := cbor.Marshal(msg)
	if err != nil {
		b.Fatal(err)
	}
	var received Message
	if err := cbor.Unmarshal(data, &received); err != nil {
		b.Fatal(err)
	}
	*msg = received
	return len(data)
}

func benchmarkOrders(b *testing.B, encode bool) {
	ticket := benchTicket(0)
	text := mustSign(b, newTestKeyring(b, oldKey), ticket)
	limits := Limits{MaxKeys: 1 << 30, MaxBytes: 1 << 40}
	home, witness := NewMachine(ticket.Home, limits), NewMachine(ticket.Witness, limits)
	now := testStart
	messages, size := 0, 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := Submission{Key: Key{Ticket: text, Unique: strconv.Itoa(i)}, Ticket: ticket, Deadline: now.Add(time.Second)}
		m, n := runOrder(b, home, witness, now, s, encode)
		messages += m
		size += n
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/order")
	if encode {
		b.ReportMetric(float64(size)/float64(b.N), "wire-bytes/order")
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "orders/s")
}

// BenchmarkOrder measures the state machines of both instances for one request.
func BenchmarkOrder(b *testing.B) { benchmarkOrders(b, false) }

// BenchmarkOrderOnWire also encodes and decodes the messages.
func BenchmarkOrderOnWire(b *testing.B) { benchmarkOrders(b, true) }

func BenchmarkSign(b *testing.B) {
	ring, ticket := newTestKeyring(b, oldKey), benchTicket(0)
	b.ReportAllocs()
	var text string
	for b.Loop() {
		text = mustSign(b, ring, ticket)
	}
	b.ReportMetric(float64(len(text)), "ticket-bytes")
}

func BenchmarkOpen(b *testing.B) {
	ring := newTestKeyring(b, oldKey)
	text := mustSign(b, ring, benchTicket(0))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ring.Open(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTick measures a tick of a machine whose keys are all settled.
func BenchmarkTick(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			home, _ := filledPair(b, keys, 4)
			for b.Loop() {
				home.Tick(testStart)
			}
		})
	}
}

// filledPair returns a home and a witness with the given number of settled keys, perTicket of
// them for each ticket.
func filledPair(b *testing.B, keys, perTicket int) (home, witness *Machine) {
	limits := Limits{MaxKeys: 1 << 30, MaxBytes: 1 << 40}
	home, witness = NewMachine(benchTicket(0).Home, limits), NewMachine(benchTicket(0).Witness, limits)
	ring := newTestKeyring(b, oldKey)
	for i := 0; i < keys; i += perTicket {
		ticket := benchTicket(i)
		text := mustSign(b, ring, ticket)
		for j := range perTicket {
			s := Submission{Key: Key{Ticket: text, Unique: fmt.Sprintf("order-%08d-%d", i, j)}, Ticket: ticket, Deadline: testStart.Add(time.Second)}
			runOrder(b, home, witness, testStart, s, true)
		}
	}
	return home, witness
}

// BenchmarkTableBytes reports the heap bytes of one key at one instance, answer included, and
// the table's estimate of them.
func BenchmarkTableBytes(b *testing.B) {
	const keys = 40_000
	for _, perTicket := range []int{1, 4, 40} {
		b.Run(fmt.Sprint(perTicket, "-per-ticket"), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				home, witness := filledPair(b, keys, perTicket)
				used := heapBytes() - before
				b.ReportMetric(float64(used)/2/keys, "heap-bytes/key")
				b.ReportMetric(float64(home.Bytes())/keys, "estimated-bytes/key")
				runtime.KeepAlive(home)
				runtime.KeepAlive(witness)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
