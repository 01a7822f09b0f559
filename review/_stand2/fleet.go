package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/damaskcove/damaskcove/platform/standin"
)

// Bounds of a small deployment, as the site file of bunya-gw has them.
const (
	drain       = 2 * time.Second
	grace       = 6 * time.Second
	configApply = 2 * time.Second
	heartbeat   = 1500 * time.Millisecond
	stable      = 3 * time.Second
)

// instance is one instance with its process, its door to the store and the relay of its datagrams.
type instance struct {
	name, zone, ip            string
	callers, ready, discovery string
	peers                     netip.AddrPort
	settings, metrics         string
	door                      *standin.Door
	relay                     *relay
	log                       *os.File
	cmd                       *exec.Cmd
	exited                    chan struct{}
	state                     *os.ProcessState
}

// fleet is the instances, the store and the network between them.
type fleet struct {
	folder    string
	store     *standin.Store
	net       string // First three octets of the loopback addresses, other ones in each run.
	instances []*instance
	network   *network
}

func newFleet(folder string) *fleet {
	return &fleet{
		folder:  folder,
		net:     fmt.Sprintf("127.%d.%d", 71+os.Getpid()%100, os.Getpid()/100%250),
		store:   standin.New(standin.Options{Latency: 4 * time.Millisecond, History: 20 * time.Second, PageItems: 50, ReadsPerSecond: 2000}),
		network: &network{cut: map[netip.AddrPort]bool{}},
	}
}

// freePort returns an address with a free port for TCP and UDP.
func freePort(ip string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp4", addr)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port on %s", ip)
}

// add prepares an instance of a zone.
func (f *fleet) add(zone string) (*instance, error) {
	n := len(f.instances) + 1
	i := &instance{name: fmt.Sprintf("edge-%s-%02d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", f.net, n)}
	var peers, announced, door string
	for _, p := range []*string{&i.callers, &i.ready, &i.discovery, &peers, &announced, &i.metrics, &door} {
		var err error
		if *p, err = freePort(i.ip); err != nil {
			return nil, err
		}
	}
	i.peers = netip.MustParseAddrPort(peers)
	var err error
	if i.relay, err = f.network.open(netip.MustParseAddrPort(announced), i.peers); err != nil {
		return nil, err
	}
	own, _ := i.peers.MarshalBinary()
	relayed, _ := netip.MustParseAddrPort(announced).MarshalBinary()
	if i.door, err = f.store.OpenRewriting(door, func(value []byte) []byte { return bytes.ReplaceAll(value, own, relayed) }); err != nil {
		return nil, err
	}
	i.settings = filepath.Join(f.folder, i.name+".toml")
	text := fmt.Sprintf(`[instance]
id = %q
zone = %q
region = "r"
first_start = true
link_mbps = 1000.0
memory_mb = 284
max_fds = 4100

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

[retry]
window = "10s"
ratio = 0.2
extra = 62

[place]
floor_share = 0.7
`, i.name, zone, i.callers, i.ready, i.discovery, peers, i.metrics, door)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if i.log, err = os.Create(filepath.Join(f.folder, i.name+".log")); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, i)
	return i, nil
}

// notFirst makes the next start of an instance one of a fleet that ran before.
func (i *instance) notFirst() error {
	text, err := os.ReadFile(i.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, bytes.Replace(text, []byte("first_start = true\n"), nil, 1), 0o600)
}

// start runs the command of the deploy file.
func (i *instance) start() error {
	i.cmd = exec.Command("target/damaskgate", "--settings", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		i.state = cmd.ProcessState
		close(exited)
	}(i.cmd, i.exited)
	return nil
}

func (i *instance) running() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until the readiness check of an instance succeeds.
func (i *instance) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + i.ready + "/damaskcove/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s; it runs: %t; its last line: %s", i.name, timeout, i.running(), i.lastLine())
}

// lastLine returns the last line of an instance's log.
func (i *instance) lastLine() string {
	data, _ := os.ReadFile(i.log.Name())
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// stopAll ends the processes that were started.
func (f *fleet) stopAll() {
	for _, i := range f.instances {
		if i.cmd != nil && i.cmd.Process != nil && i.running() {
			_ = i.cmd.Process.Signal(syscall.SIGCONT)
			_ = i.cmd.Process.Kill()
			<-i.exited
		}
	}
	f.store.Close()
}

// network relays the datagrams between instances; those from and to an instance that is cut off are dropped.
type network struct {
	mu  sync.Mutex
	cut map[netip.AddrPort]bool // By the address on which an instance receives.
}

type relay struct{ conn *net.UDPConn }

func (n *network) open(at, to netip.AddrPort) (*relay, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			size, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			n.mu.Lock()
			dropped := n.cut[from] || n.cut[to]
			n.mu.Unlock()
			if !dropped {
				_, _ = conn.WriteToUDPAddrPort(buffer[:size], to)
			}
		}
	}()
	return &relay{conn}, nil
}

// setCut cuts an instance off from the others and from the store, or ends that.
func (f *fleet) setCut(i *instance, on bool) {
	f.network.mu.Lock()
	f.network.cut[i.peers] = on
	f.network.mu.Unlock()
	state := standin.State{}
	if on {
		state.Fault = standin.Silent
	}
	i.door.Set(state)
}
