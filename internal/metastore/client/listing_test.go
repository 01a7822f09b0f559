package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// Guards against instances that stop following the list by one odd entry in it.
func TestOddEntryLeavesTheListReadable(t *testing.T) {
	const good = `{"endpoint":"127.0.0.1:9","zone":"a","slots":4,"state":2}`
	for name, odd := range map[string]string{
		"nested lists":         `{"endpoint":"127.0.0.1:8","zone":"a","slots":4,"state":2,"x":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + "}",
		"nested objects":       `{"endpoint":` + strings.Repeat(`{"]\\\"[":`, 20_000) + "1" + strings.Repeat("}", 20_000) + `,"slots":4,"state":2}`,
		"nested entry":         strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"number too large":     `{"endpoint":"127.0.0.1:8","zone":"a","slots":1e400,"state":2}`,
		"integer too large":    `{"endpoint":"127.0.0.1:8","zone":"a","slots":99999999999999999999,"state":2}`,
		"state too large":      `{"endpoint":"127.0.0.1:8","zone":"a","slots":4,"state":256}`,
		"slots a string":       `{"endpoint":"127.0.0.1:8","zone":"a","slots":"4","state":2}`,
		"endpoint a number":    `{"endpoint":8,"zone":"a","slots":4,"state":2}`,
		"null":                 "null",
		"a string":             `"\ud800"`,
		"a number":             "-1e400",
		"escaped quote, depth": `{"endpoint":"\"[\\","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"version":7,"upstreams":{"s":[%s,%s,%s],"odd":%s},"instances":[%s,{"ref":{"id":"i","incarnation":3},"peer_addr":"127.0.0.1:1"}]}`, good, odd, good, odd, odd)
			}))
			defer server.Close()
			c := New(strings.TrimPrefix(server.URL, "http://"), "test")
			defer c.Close()
			got, err := c.Read(context.Background())
			if err != nil {
				t.Fatalf("%.300v", err)
			}
			var want metastore.Listing
			if err := json.Unmarshal([]byte(`{"upstreams":{"s":[`+good+`]}}`), &want); err != nil {
				t.Fatal(err)
			}
			list := got.Upstreams["s"]
			if got.Version != 7 || len(list) != 3 || list[0] != want.Upstreams["s"][0] || list[2] != list[0] {
				t.Errorf("version %d, upstreams %+v", got.Version, list)
			}
			if n := len(got.Instances); n == 0 || got.Instances[n-1].Ref.Incarnation != 3 {
				t.Errorf("instances %+v", got.Instances)
			}
		})
	}
}

func TestBrokenListIsNotRead(t *testing.T) {
	for _, body := range []string{"", "{", "[]]", `{"version":7,"upstreams":` + strings.Repeat("[", 20_000)} {
		if got, err := decodeListing([]byte(body)); err == nil {
			t.Errorf("%.40q: %+v", body, got)
		}
	}
}

// cutDeep keeps what is valid JSON valid, and changes nothing that is not nested too deeply.
func FuzzCutDeep(f *testing.F) {
	f.Add(`{"a":[1,"[",{"b\\\"":"}"}]}`)
	f.Add(strings.Repeat("[", 40) + `"]"` + strings.Repeat("]", 40))
	f.Fuzz(func(t *testing.T, text string) {
		if !json.Valid([]byte(text)) {
			return
		}
		cut := cutDeep([]byte(text))
		if !json.Valid(cut) {
			t.Errorf("%q becomes %q", text, cut)
		}
		if strings.Count(text, "[")+strings.Count(text, "{") <= maxListDepth && string(cut) != text {
			t.Errorf("%q becomes %q", text, cut)
		}
	})
}
