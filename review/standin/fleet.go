package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is one process of the project, started with the command of the deploy file.
type instance struct {
	name, zone                                string
	callers, ready, discovery, peers, metrics string
	door                                      *door
	settings                                  string // Path of its settings file.
	log                                       *os.File
	cmd                                       *exec.Cmd
	exited                                    chan struct{}
}

// fleet is the environment of a case.
type fleet struct {
	gate      string // Path of the program.
	folder    string // Temporary folder.
	record    *record
	store     *store
	instances []*instance
	endpoints []*endpoint
	command   func(gate, settings string) *exec.Cmd // How an instance is started.
}

func newFleet(gate string, r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "damaskcove-review-")
	if err != nil {
		return nil, err
	}
	start := func(gate, settings string) *exec.Cmd { return exec.Command(gate, "--settings", settings) }
	return &fleet{gate: gate, folder: folder, record: r, store: newStore(), command: start}, nil
}

var lastPort = 11000 + rand.IntN(19000)

// freePort returns a free address below the ports that the system gives to outgoing connections.
func freePort(network string) (string, error) {
	for range 1000 {
		lastPort++
		addr := fmt.Sprintf("127.0.0.1:%d", lastPort)
		if network == "udp4" {
			if c, err := net.ListenPacket("udp4", addr); err == nil {
				return addr, c.Close()
			}
			continue
		}
		if l, err := net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// add prepares an instance; start runs it.
func (f *fleet) add(name, zone string) (*instance, error) {
	d, err := f.store.open()
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, zone: zone, door: d, settings: filepath.Join(f.folder, name+".toml")}
	for _, p := range []*string{&i.callers, &i.ready, &i.discovery, &i.metrics} {
		if *p, err = freePort("tcp4"); err != nil {
			return nil, err
		}
	}
	if i.peers, err = freePort("udp4"); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, i)
	return i, nil
}

// settingsText is deploy/settings.toml filled in with the bounds of the site bunya-gw.
const settingsText = `[instance]
id = %q
zone = %q
region = "region-1"
%s
link_mbps = 1000.0
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
`

func (f *fleet) start(i *instance, firstStart bool) error {
	first := ""
	if firstStart {
		first = "first_start = true"
	}
	text := fmt.Sprintf(settingsText, i.name, i.zone, first, i.callers, i.ready, i.discovery, i.peers, i.metrics, i.door.addr())
	if err := os.WriteFile(i.settings, []byte(text), 0o644); err != nil {
		return err
	}
	var err error
	if i.log == nil {
		if i.log, err = os.Create(filepath.Join(f.folder, i.name+".log")); err != nil {
			return err
		}
	}
	i.cmd = f.command(f.gate, i.settings)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	cmd, exited := i.cmd, i.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	f.record.printf("instance %s (%s) started, process %d", i.name, i.zone, i.cmd.Process.Pid)
	return nil
}

// startAll starts all instances and waits until each is ready.
func (f *fleet) startAll() error {
	for _, i := range f.instances {
		if err := f.start(i, true); err != nil {
			return err
		}
	}
	return f.awaitReady(20 * time.Second)
}

func (f *fleet) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, i := range f.instances {
		for !i.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (i *instance) isReady() bool {
	status, _ := get("http://" + i.ready + "/damaskcove/readyz")
	return status == 200
}

// gauge returns a metric's value as text.
func (i *instance) gauge(name string) string {
	_, body := get("http://" + i.metrics + "/metrics")
	for _, line := range strings.Split(body, "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && strings.Contains(fields[0], name) {
			return fields[len(fields)-1]
		}
	}
	return ""
}

func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

func (f *fleet) service(name string, n, slots int, zones ...string) error {
	for k := range n {
		e, err := startEndpoint(f.store, f.record, fmt.Sprintf("i-%s-%d", name, k+1), name, zones[k%len(zones)], slots)
		if err != nil {
			return err
		}
		e.register("ready")
		f.endpoints = append(f.endpoints, e)
	}
	return nil
}

// runsOf returns the endpoints that ran a request.
func (f *fleet) runsOf(id string) []*endpoint {
	var out []*endpoint
	for _, e := range f.endpoints {
		for range e.ran(id) {
			out = append(out, e)
		}
	}
	return out
}

// route is a route of a configuration.
func route(host, prefix, service, kind string, attempts int, timeout string) map[string]any {
	return map[string]any{
		"host": host, "path_prefix": prefix, "service": service, "route_kind": kind, "max_attempts": attempts,
		"timeout": timeout, "target_latency": "1200ms", "priority": 1,
	}
}

// configure writes a version of the configuration as the operator does, and returns when the store
// has acknowledged it.
func (f *fleet) configure(version int, routes map[string]any, services ...string) time.Time {
	byName := map[string]any{}
	for _, s := range services {
		byName[s] = map[string]any{"health_path": "/healthz", "max_connections": 390}
	}
	f.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": byName,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	at := time.Now()
	f.record.printf("the operator's configuration %08x is acknowledged", version)
	return at
}

// end kills all processes and waits for them.
func (f *fleet) end() error {
	var errs []error
	for _, i := range f.instances {
		if i.cmd == nil {
			continue
		}
		i.signal(syscall.SIGCONT)
		_ = i.cmd.Process.Kill()
		<-i.exited
		if os.Getenv("KEEP_LOGS") == "" {
			_ = i.log.Close()
		}
	}
	for _, e := range f.endpoints {
		e.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		errs = append(errs, os.RemoveAll(f.folder))
	}
	return errors.Join(errs...)
}
