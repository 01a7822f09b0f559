package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

const (
	regionName    = "qld-se"
	callersPort   = 8548
	readyPort     = 8542
	discoveryPort = 8546
	peersPort     = 7540
	metricsPort   = 9464
	storePort     = 8541
	upstreamPort  = 8080
)

// Third octets of the loopback addresses: of the machines, of the sockets that relay their datagrams
// and of their doors to the store, each by zone, and of the upstreams.
const (
	machineOctet  = 1
	proxyOctet    = 101
	doorOctet     = 201
	upstreamOctet = 51
)

var zoneNames = [3]string{"qld-se-a", "qld-se-b", "qld-se-c"}

// Figures of the store.
const (
	storeLatency   = 4 * time.Millisecond // Of a call, without a fault.
	storeHistory   = 20 * time.Second     // Age up to which changes can be watched.
	storePage      = 50                   // Items in a reply to a range; few, so that ranges have several pages.
	readsPerSecond = 2000
)

// killTimeout bounds the time from SIGKILL to the end of a process.
const killTimeout = 5 * time.Second

// machine is one machine of the fleet with its process.
type machine struct {
	name, zone                string
	zoneIndex, number         int
	callers, ready, discovery string
	metrics                   string
	mark                      keyMark
	revokeWithin              time.Duration // Of its settings; 0 for none.
	peers, announced          netip.AddrPort
	settings                  string
	door                      *standin.Door
	proxy                     *datagramProxy
	log                       *os.File
	recorder                  *recorder
	gate                      string
	cores                     int // On which its process runs; 0 for all.
	memoryMB, descriptors     int // That its process may use; 0 for any number.
	isReady                   atomic.Bool
	lives                     atomic.Int32
	operating                 sync.Mutex   // Held by an operation that stops or pauses the process.
	rewritten                 atomic.Int32 // Registrations whose address was replaced.

	mu      sync.Mutex
	process *process // The last one that was started; nil before the first.
}

// process is one process of a machine.
type process struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	ordered atomic.Bool // Its end was ordered.
}

// life returns the number of the process that runs.
func (m *machine) life() int { return int(m.lives.Load()) }

// fleet is the machines with their network and store.
type fleet struct {
	options  Options
	folder   string
	store    *standin.Store
	mark     keyMark // Of the keys of accounts.
	network  *network
	recorder *recorder

	mu       sync.Mutex
	machines []*machine
	byAddr   map[string]*machine
	names    map[netip.Addr]string
}

func newFleet(o Options, r *recorder, mark keyMark) *fleet {
	store := standin.New(standin.Options{Latency: storeLatency, History: storeHistory, PageItems: storePage, ReadsPerSecond: readsPerSecond})
	n := newNetwork(o.Loss)
	n.mark, n.leaked = mark, func(from, to string) {
		r.leak(Leak{Place: LeakLink, Machine: from, Text: "to " + to})
	}
	return &fleet{options: o, folder: o.Folder, store: store, mark: mark, network: n, recorder: r, byAddr: map[string]*machine{}, names: map[netip.Addr]string{}}
}

func (f *fleet) addr(octet, zone, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.options.Network, byte(octet + zone), byte(number)}), port)
}

// add prepares a machine; start runs its process.
func (f *fleet) add(zone, number int) (*machine, error) {
	m := &machine{
		name: fmt.Sprintf("edge-%s-%d", zoneNames[zone], number), zone: zoneNames[zone], zoneIndex: zone, number: number,
		callers:   f.addr(machineOctet, zone, number, callersPort).String(),
		ready:     f.addr(machineOctet, zone, number, readyPort).String(),
		discovery: f.addr(machineOctet, zone, number, discoveryPort).String(),
		peers:     f.addr(machineOctet, zone, number, peersPort),
		announced: f.addr(proxyOctet, zone, number, peersPort),
		metrics:   f.addr(machineOctet, zone, number, metricsPort).String(),
		mark:      f.mark, revokeWithin: f.options.RevokeWithin,
		recorder: f.recorder, gate: f.options.Gate, cores: f.options.Cores,
		memoryMB: f.options.MemoryMB, descriptors: f.options.Descriptors,
	}
	m.settings = filepath.Join(f.folder, m.name+".toml")
	var err error
	if m.door, err = f.store.OpenRewriting(f.addr(doorOctet, zone, number, storePort).String(), m.rewrite); err != nil {
		return nil, fmt.Errorf("the store of %s: %w", m.name, err)
	}
	if f.options.Relay {
		if m.proxy, err = f.network.open(m.name, m.announced, m.peers, f.nameOf); err != nil {
			return nil, err
		}
	}
	if m.log, err = os.Create(filepath.Join(f.folder, m.name+".log")); err != nil {
		return nil, fmt.Errorf("create a log: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, m)
	f.byAddr[m.callers] = m
	f.names[m.peers.Addr()] = m.name
	return m, nil
}

// rewrite searches a value that the instance writes for keys, and replaces the address at which the other instances reach this one by that of the relay.
func (m *machine) rewrite(value []byte) []byte {
	if m.mark.in(value) {
		m.recorder.leak(Leak{Place: LeakStore, Machine: m.name})
	}
	if m.proxy == nil {
		return value
	}
	out := replaceAddr(value, m.peers, m.announced)
	if string(out) != string(value) {
		m.rewritten.Add(1)
	}
	return out
}

func (f *fleet) nameOf(addr netip.Addr) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names[addr]
}

func (f *fleet) byCallers(addr string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr]
}

func (f *fleet) all() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.machines)
}

// nearest returns n random machines, those of the zone first.
func (f *fleet) nearest(zone string, n int) []*machine {
	list := f.all()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *machine) int {
		switch {
		case a.zone == zone && b.zone != zone:
			return -1
		case a.zone != zone && b.zone == zone:
			return 1
		}
		return 0
	})
	return list[:min(n, len(list))]
}

const settingsText = `[instance]
id = %q
zone = %q
region = %q
%slink_mbps = 1000.0
memory_mb = %d
max_fds = %d
[listen]
callers = %q
ready = %q
discovery = %q
peers = %q
metrics = %q
[store]
address = %q
[promises]
apply_within = "2000ms"
drain_within = "2000ms"
stop_within = "6s"
%s[retry]
window = "10s"
ratio = 0.2
extra = 62
[place]
floor_share = 0.7
`

// start runs the machine's process.
func (m *machine) start(first bool) error {
	firstStart := ""
	if first {
		firstStart = "first_start = true\n"
	}
	revocation := ""
	if m.revokeWithin > 0 {
		revocation = fmt.Sprintf("revoke_within = %q\n", m.revokeWithin)
	}
	text := fmt.Sprintf(settingsText, m.name, m.zone, regionName, firstStart, m.memoryMB, m.descriptors, m.callers, m.ready, m.discovery, m.peers, m.metrics, m.door.Addr(), revocation)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", m.name, err)
	}
	cmd := exec.Command(m.gate, "--settings", m.settings)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = attributes(false)
	if err := startOn(m.cores, cmd); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	if m.descriptors > 0 {
		if err := limitDescriptors(cmd.Process.Pid, m.descriptors); err != nil {
			return err
		}
	}
	m.lives.Add(1)
	p := &process{cmd: cmd, exited: make(chan struct{})}
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
	meter := meterMemory(cmd.Process.Pid, p.exited)
	go func() {
		err := cmd.Wait()
		m.recorder.memory(m.name, meter.bytes(cmd.ProcessState))
		if !p.ordered.Load() {
			m.recorder.ownEnd(m.name, fmt.Sprintf("process %d: %v", cmd.Process.Pid, err))
		}
		close(p.exited)
	}()
	return nil
}

// current returns the process that was started last, or nil.
func (m *machine) current() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// signal sends a signal to the process that runs. ends tells that it is to end it.
func (m *machine) signal(s syscall.Signal, ends bool) {
	p := m.current()
	if ends {
		p.ordered.Store(true)
	}
	_ = p.cmd.Process.Signal(s)
}

// wait waits for the end of the process and reports whether it came in time.
func (m *machine) wait(within time.Duration) bool {
	select {
	case <-m.current().exited:
		return true
	case <-time.After(within):
		return false
	}
}

// poll asks the process whether it is ready.
func (m *machine) poll() {
	resp, err := control.Get("http://" + m.ready + "/damaskcove/readyz")
	if err != nil {
		m.isReady.Store(false)
		return
	}
	_ = resp.Body.Close()
	m.isReady.Store(resp.StatusCode == http.StatusOK)
}

// end kills all processes and closes the stand-ins.
func (f *fleet) end() error {
	defer f.store.Close()
	var errs []error
	for _, m := range f.all() {
		errs = append(errs, m.end())
	}
	return errors.Join(errs...)
}

// end kills the process, after an operation that is under way, and closes the stand-ins of the machine.
func (m *machine) end() error {
	m.operating.Lock()
	defer m.operating.Unlock()
	if m.current() != nil {
		m.signal(syscall.SIGKILL, true)
		if !m.wait(killTimeout) {
			return fmt.Errorf("%s did not end", m.name)
		}
	}
	m.door.Close()
	if m.proxy != nil {
		m.proxy.close()
	}
	return m.log.Close()
}
