package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/load"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/client"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// startCommand runs a command until the test ends. It returns the last word of the first output line, which is the address.
func startCommand(t *testing.T, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	done := make(chan int, 1)
	var stderr bytes.Buffer
	go func() {
		done <- runContext(ctx, args, writer, &stderr)
		_ = writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	if err != nil {
		t.Fatalf("%v: %v: %s", args, err, stderr.String())
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	t.Cleanup(func() {
		cancel()
		if exit := <-done; exit != exitDone {
			t.Errorf("%v: exit %d: %s", args, exit, stderr.String())
		}
	})
	fields := strings.Fields(line)
	return fields[len(fields)-1]
}

func call(t *testing.T, method, url, body string, into any) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= 300 {
		t.Fatalf("%s %s: status %d: %s %v", method, url, response.StatusCode, data, err)
	}
	if into != nil {
		if err := json.Unmarshal(data, into); err != nil {
			t.Fatal(err)
		}
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestStandinsAndLoadTogether(t *testing.T) {
	dir := t.TempDir()
	platformFile := writeFile(t, filepath.Join(dir, "platform.toml"), `
listen = "127.0.0.1:0"
[[instances]]
id = "entry-1"
entry = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
`)
	platformAddr := startCommand(t, "standin", "platform", "--settings", platformFile)
	hostFile := writeFile(t, filepath.Join(dir, "host.toml"), `
admin = "127.0.0.1:0"
platform = "`+platformAddr+`"
record_lookups = true
[[groups]]
service = "stock"
zone = "seq-1"
first = "127.0.0.1:0"
count = 3
slots = 50
median = "1ms"
`)
	admin := startCommand(t, "standin", "upstream", "--settings", hostFile)

	c := client.New(platformAddr, "test")
	defer c.Close()
	var listing metastore.Listing
	for len(listing.Upstreams["stock"]) != 3 {
		var err error
		if listing, err = c.Read(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if len(listing.Instances) != 1 {
		t.Fatalf("instances %v", listing.Instances)
	}
	endpoint := string(listing.Upstreams["stock"][0].Endpoint)
	got := runCommand(context.Background(), "load", "--direct", endpoint, "--account", "a", "--path", "/stock", "--rate", "200", "--duration", "200ms", "--warmup", "0s", "--report", "json")
	got.expect(t, exitDone)
	var report load.Report
	if err := json.Unmarshal([]byte(got.stdout), &report); err != nil || report.Requests == 0 || report.Answered != report.Requests {
		t.Fatalf("%s %v", got.stdout, err)
	}
	var stats []upstream.Stats
	call(t, http.MethodGet, "http://"+admin+upstream.PathEndpoints, "", &stats)
	if stats[0].Started != uint64(report.Requests) {
		t.Fatalf("%d started, %d sent", stats[0].Started, report.Requests)
	}
	call(t, http.MethodPut, "http://"+admin+upstream.PathFaults+"?endpoint="+endpoint, `{"fail_share":1}`, nil)
	call(t, http.MethodPost, "http://"+admin+upstream.PathConnectivity+"?endpoint="+endpoint+"&from=127.0.0.1&reach=close", "", nil)
	runCommand(context.Background(), "load", "--direct", endpoint, "--account", "a", "--path", "/stock", "--duration", "100ms", "--warmup", "0s").expect(t, exitDone, "no-answer")
	call(t, http.MethodPost, "http://"+admin+upstream.PathDrain+"?endpoint="+endpoint, "", nil)
	for listing.Upstreams["stock"][0].State != fleet.UpstreamDraining {
		var err error
		if listing, err = c.Read(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	var counts standin.Counts
	call(t, http.MethodGet, "http://"+platformAddr+standin.PathCounts, "", &counts)
	if counts.ByClient["test"] == 0 {
		t.Fatalf("counts %+v", counts)
	}
}

func TestLoadPrintsATable(t *testing.T) {
	got := runCommand(context.Background(), "load", "--direct", freeAddress(t), "--account", "a", "--path", "/", "--duration", "50ms", "--warmup", "0s")
	got.expect(t, exitDone, "from the scheduled start", "no-answer")
}

func TestExampleStandinSettingsAreValid(t *testing.T) {
	if _, err := readPlatformSettings("../../examples/local/platform.toml"); err != nil {
		t.Error(err)
	}
	s, err := readHostSettings("../../examples/local/upstreams.toml")
	if err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for _, g := range s.Groups {
		counts[g.Service] += g.Count
	}
	if counts["stock"] != 10 || counts["drums"] != 20 || counts["pickups"] != 6 {
		t.Errorf("endpoints %v", counts)
	}
}
