package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// processTimeout bounds every wait of these tests. It is no performance bound: a wait that
// reaches it would never succeed.
const processTimeout = 2 * time.Minute

// binaries are the daemon and the operators' tool, built once for all tests.
var binaries struct {
	daemon, tool string
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "damaskcove")
	if err != nil {
		panic(err)
	}
	binaries.daemon = filepath.Join(dir, "damaskcove")
	binaries.tool = filepath.Join(dir, "damaskctl")
	for path, source := range map[string]string{binaries.daemon: ".", binaries.tool: "../damaskctl"} {
		if out, err := exec.Command("go", "build", "-o", path, source).CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build %s: %v: %s", source, err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

func start(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	path := filepath.Join(dir, name+".log")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.Command(binary, args...), done: make(chan struct{}), log: path}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(t, syscall.SIGCONT)
		p.signal(t, syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			data, _ := os.ReadFile(path)
			t.Logf("%s:\n%s", name, data[max(0, len(data)-4000):])
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(processTimeout):
		t.Fatal("process did not end")
		return 0
	}
}

// addresses is the number of loopback addresses assigned so far.
var addresses atomic.Int32

// Loopback addresses of these tests: each has its own IP address, out of a network
// chosen by the process ID, so that no two programs get the same.
const (
	testPort      = 18080
	firstNetwork  = 20
	networks      = 200
	hostsPerBlock = 250
)

// freeAddress returns a loopback address that no other program of the test has.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := int(addresses.Add(1))
	return fmt.Sprintf("127.%d.%d.%d:%d", firstNetwork+os.Getpid()%networks, n/hostsPerBlock, n%hostsPerBlock+1, testPort)
}

func write(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// system is a fleet of separate processes.
type system struct {
	dir, platform, admin string
	entries, operators   []string
	instances            []*process
}

const token = "process-test-token"

func instanceSettings(id, zone, entry, peer, operator, platform string) string {
	return fmt.Sprintf(`
[instance]
id = %q
fleet = "honey"
zone = %q
region = "queensland"
[listen]
entry = %q
peer = %q
operator = %q
[platform]
address = %q
[peer]
plaintext = true
[operator]
token = %q
[fleet]
discovery_max_age = "1s"
[[tickets.keys]]
id = "a"
secret = "%s"
[stop]
timeout = "30s"
`, id, zone, entry, peer, operator, platform, token, strings.Repeat("ab", 32))
}

const processTemplates = `
fleet = "honey"
[service.stock]
floor_slots = 4
deadline = "2s"
retry_share = 0.1
false_ejections_per_endpoint_month = 0.01
requests_per_second = 100
max_body = "16KiB"
routes = [{ method = "GET", path_prefix = "/stock", idempotent = true }]
[service.drums]
floor_slots = 4
deadline = "4s"
retry_share = 0.0
false_ejections_per_endpoint_month = 0.01
requests_per_second = 50
max_body = "16KiB"
routes = [{ method = "POST", path_prefix = "/drums", idempotent = false }]
[account.brewer]
services = ["stock", "drums"]
weight = 1
`

func startSystem(t *testing.T, instances int) *system {
	t.Helper()
	s := &system{dir: t.TempDir(), platform: freeAddress(t), admin: freeAddress(t)}
	settings := write(t, filepath.Join(s.dir, "platform.toml"), fmt.Sprintf("listen = %q\n", s.platform))
	start(t, s.dir, "platform", binaries.tool, "standin", "platform", "--settings", settings)
	upstreams := fmt.Sprintf("admin = %q\nplatform = %q\nrecord_lookups = true\n", s.admin, s.platform)
	for _, service := range []string{"stock", "drums"} {
		for i := range 4 {
			upstreams += fmt.Sprintf("[[groups]]\nservice = %q\nzone = \"z%d\"\nfirst = %q\ncount = 1\nslots = 4\nmedian = \"5ms\"\norder_paths = [\"/drums\"]\n",
				service, i%3+1, freeAddress(t))
		}
	}
	start(t, s.dir, "upstreams", binaries.tool, "standin", "upstream", "--settings", write(t, filepath.Join(s.dir, "upstreams.toml"), upstreams))
	for i := range instances {
		entry, operator := freeAddress(t), freeAddress(t)
		file := instanceSettings(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("z%d", i%3+1), entry, freeAddress(t), operator, s.platform)
		path := write(t, filepath.Join(s.dir, fmt.Sprintf("entry-%d.toml", i+1)), file)
		s.instances = append(s.instances, start(t, s.dir, fmt.Sprintf("entry-%d", i+1), binaries.daemon, "--settings", path))
		s.entries = append(s.entries, entry)
		s.operators = append(s.operators, operator)
	}
	s.apply(t)
	return s
}

// apply applies the templates and waits until they are active on every instance.
func (s *system) apply(t *testing.T) {
	t.Helper()
	templates := write(t, filepath.Join(s.dir, "templates.toml"), processTemplates)
	args := []string{"apply", templates, "--platform", s.platform, "--rebase", "--wait", "--timeout", processTimeout.String()}
	for _, o := range s.operators {
		args = append(args, "--operator", o)
	}
	deadline := time.Now().Add(processTimeout)
	for {
		c := exec.Command(binaries.tool, args...)
		c.Env = append(os.Environ(), "DAMASKCOVE_TOKEN="+token)
		out, err := c.CombinedOutput()
		if err == nil && s.isServing() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("apply: %v: %s", err, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// isServing reports whether every instance answers discovery with a ticket and with at least
// as many entries as there are instances, or three.
func (s *system) isServing() bool {
	for _, entry := range s.entries {
		var d client.Discovery
		if getJSON("http://"+entry+client.DiscoverPath+"?service=drums&account=brewer", &d) != nil {
			return false
		}
		if len(d.Entries) < min(3, len(s.entries)) || d.Ticket == "" {
			return false
		}
	}
	return true
}

func getJSON(url string, into any) error {
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// outcomes counts the final results that callers got.
type outcomes struct {
	mu                        sync.Mutex
	answered, notRun, unknown int
	mismatched                []string
}

// sendOrder sends one order and counts its final result.
func (s *system) sendOrder(c *client.Client, id string, results *outcomes) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := c.Do(ctx, client.Request{
		Service: "drums", Method: "POST", URI: "/drums/" + id, Body: []byte(id),
		Header: http.Header{upstream.HeaderRequestID: {id}},
	})
	var none *client.NoAnswerError
	results.mu.Lock()
	defer results.mu.Unlock()
	switch {
	case errors.As(err, &none) && none.Execution == client.ExecutionUnknown:
		results.unknown++
	case err != nil, a.Execution == client.ExecutionNotRun:
		results.notRun++
	case a.Execution == client.ExecutionUnknown:
		results.unknown++
	default:
		results.answered++
		var body upstream.Answer
		if json.Unmarshal(a.Body, &body) != nil || body.RequestID != id {
			results.mismatched = append(results.mismatched, id)
		}
	}
}

// sendOrders sends orders one after another until stop is closed.
func (s *system) sendOrders(t *testing.T, worker int, stop <-chan struct{}, results *outcomes) {
	c, err := client.New(client.Options{Entries: s.entries, Account: "brewer", Zone: "z1"})
	if err != nil {
		t.Error(err)
		return
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
			s.sendOrder(c, fmt.Sprintf("order-%d-%d", worker, i), results)
		}
	}
}

// TestSeparateProcessesKeepGuarantees sends orders while it kills one instance, pauses and
// resumes another, and stops a third as planned. It guards against orders that run twice, responses
// to another request, and results reported to callers that contradict what upstreams executed.
func TestSeparateProcessesKeepGuarantees(t *testing.T) {
	s := startSystem(t, 5)
	results := &outcomes{}
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for w := range 8 {
		workers.Go(func() { s.sendOrders(t, w, stop, results) })
	}
	s.waitForAnswers(t, results, 100)
	s.instances[0].signal(t, syscall.SIGKILL)
	s.waitForAnswers(t, results, 100)
	s.instances[1].signal(t, syscall.SIGSTOP)
	s.waitForAnswers(t, results, 100)
	s.instances[1].signal(t, syscall.SIGCONT)
	s.waitForAnswers(t, results, 100)
	s.instances[2].signal(t, syscall.SIGTERM)
	if code := s.instances[2].wait(t); code != 0 {
		t.Errorf("planned stop ended with exit code %d, want 0", code)
	}
	s.waitForAnswers(t, results, 100)
	close(stop)
	workers.Wait()
	var summary upstream.Summary
	if err := getJSON("http://"+s.admin+upstream.PathSummary, &summary); err != nil {
		t.Fatal(err)
	}
	if len(summary.Duplicated) > 0 {
		t.Errorf("orders that ran twice: %v", summary.Duplicated)
	}
	if len(results.mismatched) > 0 {
		t.Errorf("responses to other requests: %v", results.mismatched)
	}
	if ran := summary.NonIdempotent; ran < results.answered || ran > results.answered+results.unknown {
		t.Errorf("upstreams ran %d orders; callers got %d answered, %d unknown, %d not run", ran, results.answered, results.unknown, results.notRun)
	}
	t.Logf("answered %d, not run %d, unknown %d; upstreams ran %d", results.answered, results.notRun, results.unknown, summary.NonIdempotent)
}

// waitForAnswers waits until the given number of further orders have been answered.
func (s *system) waitForAnswers(t *testing.T, results *outcomes, more int) {
	t.Helper()
	count := func() int {
		results.mu.Lock()
		defer results.mu.Unlock()
		return results.answered
	}
	want := count() + more
	for deadline := time.Now().Add(processTimeout); count() < want; {
		if time.Now().After(deadline) {
			t.Fatalf("%d orders answered, want %d", count(), want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestExitStatusOfInvalidSettingsAndAddressInUse(t *testing.T) {
	dir := t.TempDir()
	bad := write(t, filepath.Join(dir, "bad.toml"), "[instance]\nid = \"a\"\nunknown = 1\n[listen]\nentry = \"localhost:80\"\n")
	p := start(t, dir, "bad", binaries.daemon, "--settings", bad)
	if code := p.wait(t); code != exitSettings {
		t.Errorf("invalid settings: exit status %d, want %d", code, exitSettings)
	}
	output, err := os.ReadFile(p.log)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"bad.toml", "instance.unknown", "listen.entry", "localhost:80", "2500"} {
		if !strings.Contains(string(output), want) {
			t.Errorf("output does not contain %q:\n%s", want, output)
		}
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	text := instanceSettings("a", "z1", taken.Addr().String(), freeAddress(t), freeAddress(t), freeAddress(t))
	p = start(t, dir, "taken", binaries.daemon, "--settings", write(t, filepath.Join(dir, "taken.toml"), text))
	if code := p.wait(t); code != exitAddress {
		t.Errorf("address in use: exit status %d, want %d", code, exitAddress)
	}
}
