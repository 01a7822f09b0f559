package tomlfile

import (
	"strings"
	"testing"
	"time"
)

type part struct {
	Name string `toml:"name"`
	Size Size   `toml:"size"`
}

type file struct {
	Count   int             `toml:"count"`
	Share   float64         `toml:"share"`
	On      bool            `toml:"on"`
	Wait    time.Duration   `toml:"wait"`
	Words   []string        `toml:"words"`
	Parts   []part          `toml:"parts"`
	ByName  map[string]part `toml:"by_name"`
	Maybe   *int            `toml:"maybe"`
	Private int
}

func decode(text string, into *file) []FieldError {
	c := &Collector{File: "f.toml"}
	Decode(c, []byte(text), into)
	return c.Fields
}

func TestDecodeAssigns(t *testing.T) {
	got := file{Count: 9, Share: 0.5}
	fields := decode(`
count = 3
on = true
wait = "1m30s"
words = ["a", "b"]
maybe = 7
[[parts]]
name = "p"
size = "2KiB"
[by_name.x]
size = 12
`, &got)
	if len(fields) != 0 {
		t.Fatal(fields)
	}
	if got.Count != 3 || got.Share != 0.5 || !got.On || got.Wait != 90*time.Second || len(got.Words) != 2 ||
		got.Parts[0].Size != 2048 || got.ByName["x"].Size != 12 || *got.Maybe != 7 {
		t.Fatalf("%+v", got)
	}
}

func TestDecodeReportsEveryInvalidField(t *testing.T) {
	var got file
	fields := decode(`
count = "three"
share = "half"
on = 1
wait = 30
words = ["a", 2]
nonsense = 1
maybe = "x"
[[parts]]
name = 1
size = "2 furlongs"
colour = "red"
[by_name]
x = 3
`, &got)
	want := []string{"by_name.x = 3: must be a table", "count = \"three\"", "maybe = \"x\"", "nonsense: unknown key", "on = 1", "parts[0].colour: unknown key",
		"parts[0].name = 1", "parts[0].size = \"2 furlongs\"", "share = \"half\"", "wait = 30", "words[1] = 2"}
	if len(fields) != len(want) {
		t.Fatalf("%d errors, want %d:\n%v", len(fields), len(want), (&ValidationError{Fields: fields}).Error())
	}
	for i := range want {
		if !strings.HasPrefix(fields[i].String(), "f.toml: "+want[i]) {
			t.Errorf("error %q, want %q", fields[i], want[i])
		}
	}
	if got.Maybe != nil {
		t.Error("an invalid value was assigned")
	}
}

func TestSyntaxErrorNamesItsLine(t *testing.T) {
	var got file
	fields := decode("count = 1\ncount = = 2\n", &got)
	if len(fields) != 1 || !strings.Contains(fields[0].String(), "line 2") {
		t.Fatal(fields)
	}
}

func TestSizeString(t *testing.T) {
	for size, want := range map[Size]string{1: "1B", 1024: "1KiB", 3 << 20: "3MiB", 1<<20 + 1: "1048577B", 2 << 30: "2GiB"} {
		if got := size.String(); got != want {
			t.Errorf("%d: %s", int(size), got)
		}
	}
}
