package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

func fieldErrors(t *testing.T, err error) []tomlfile.FieldError {
	t.Helper()
	var invalid *tomlfile.ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("error %v is not a ValidationError", err)
	}
	return invalid.Fields
}

func TestExampleIsValid(t *testing.T) {
	s, err := Parse("example.toml", Example)
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance.ID != "entry-1" || s.Listen.EntryAdvertised != "127.0.0.1:8080" || len(s.Tickets.Keys[0].Bytes) != MinSecretBytes {
		t.Fatalf("%+v", s)
	}
}

// TestExampleShowsTheDefaults uncomments each default of the example, which must not change the settings.
func TestExampleShowsTheDefaults(t *testing.T) {
	want, err := Parse("example.toml", Example)
	if err != nil {
		t.Fatal(err)
	}
	commented := regexp.MustCompile(`(?m)^# ([a-z_]+ = [^#\n]+?)\s*(#.*)?$`)
	var lines []string
	uncommented := 0
	for _, line := range strings.Split(string(Example), "\n") {
		match := commented.FindStringSubmatch(line)
		if match == nil || strings.HasSuffix(match[1], `.pem"`) {
			lines = append(lines, line)
			continue
		}
		uncommented++
		lines = append(lines, match[1])
	}
	got, err := Parse("example.toml", []byte(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("with the defaults uncommented %+v\nas published %+v", got, want)
	}
	if keys := countKeys(reflect.TypeFor[Settings]()); bytes.Count(Example, []byte(" = ")) < keys {
		t.Errorf("the example contains %d keys, want at least %d", bytes.Count(Example, []byte(" = ")), keys)
	}
	if uncommented < 20 {
		t.Errorf("the example contains only %d commented defaults", uncommented)
	}
}

func countKeys(t reflect.Type) int {
	n := 0
	for i := range t.NumField() {
		field := t.Field(i)
		switch tag := field.Tag.Get("toml"); {
		case tag == "" || tag == "-":
		case field.Type.Kind() == reflect.Struct:
			n += countKeys(field.Type)
		case field.Type.Kind() == reflect.Slice:
			n += countKeys(field.Type.Elem())
		default:
			n++
		}
	}
	return n
}

func TestParseReportsEveryInvalidSetting(t *testing.T) {
	text := `
[instance]
id = "entry one"
fleet = "f"
zone = ""
region = "r"
colour = "red"
[listen]
entry = "localhost:80"
peer = "192.0.2.1:81"
operator = "0.0.0.0:82"
entry_advertised = "0.0.0.0:80"
outgoing = "here"
[platform]
address = "127.0.0.1:0"
[peer]
plaintext = true
[operator]
token = "short"
[tickets]
lifetime = "10s"
[[tickets.keys]]
id = "a"
secret = "00"
[[tickets.keys]]
id = "a"
secret = "!!"
[fleet]
carriers_per_service = 0
[limits]
max_body = "1 furlong"
max_in_flight = -1
[stop]
timeout = 3
[trace]
exporter = "carrier pigeon"
sample_share = nan
[log]
level = "loud"
`
	_, err := Parse("bad.toml", []byte(text))
	got := make(map[string]bool)
	for _, f := range fieldErrors(t, err) {
		got[f.Key] = true
	}
	for _, key := range []string{"instance.colour", "instance.id", "instance.zone", "listen.entry", "listen.entry_advertised", "listen.outgoing",
		"platform.address", "peer.plaintext", "operator.token", "tickets.lifetime", "tickets.keys[0].secret",
		"tickets.keys[1].id", "tickets.keys[1].secret", "fleet.carriers_per_service", "limits.max_body", "limits.max_in_flight",
		"stop.timeout", "trace.exporter", "trace.sample_share", "log.level"} {
		if !got[key] {
			t.Errorf("no error is reported for %s", key)
		}
	}
	for _, secret := range []string{"short", "!!"} {
		if strings.Contains(err.Error(), secret) {
			t.Errorf("the error contains a secret: %v", err)
		}
	}
}

func TestAdvertisedAddresses(t *testing.T) {
	parse := func(listen, extra string) (*Settings, error) {
		text := strings.Replace(string(Example), `entry = "127.0.0.1:8080"`, `entry = "`+listen+"\"\n"+extra, 1)
		return Parse("s.toml", []byte(text))
	}
	for _, step := range []struct {
		listen, extra, want string
		ok                  bool
	}{
		{"192.0.2.1:80", "", "192.0.2.1:80", true},
		{"192.0.2.1:0", "", "", true},
		{"0.0.0.0:80", "", "", false},
		{"0.0.0.0:0", "", "", false},
		{"0.0.0.0:80", `entry_advertised = "192.0.2.1:80"`, "192.0.2.1:80", true},
		{"0.0.0.0:80", `entry_advertised = "192.0.2.1:0"`, "", false},
		{"0.0.0.0:80", `entry_advertised = "here:80"`, "", false},
	} {
		s, err := parse(step.listen, step.extra)
		if (err == nil) != step.ok {
			t.Errorf("%+v: %v", step, err)
		}
		if err == nil && s.Listen.EntryAdvertised != step.want {
			t.Errorf("%+v: advertised %q", step, s.Listen.EntryAdvertised)
		}
	}
}

func TestPlaintextOnLoopbackOnly(t *testing.T) {
	for address, ok := range map[string]bool{"127.0.0.1:8081": true, "[::1]:8081": true, "192.0.2.1:8081": false, "0.0.0.0:8081": false} {
		text := strings.Replace(string(Example), "127.0.0.1:8081", address, 1)
		if _, err := Parse("s.toml", []byte(text)); (err == nil) != ok {
			t.Errorf("%s: %v", address, err)
		}
	}
}

func TestCertificatesAreRequiredWithoutPlaintext(t *testing.T) {
	_, err := Parse("s.toml", []byte(strings.Replace(string(Example), "plaintext = true", "plaintext = false", 1)))
	if n := len(fieldErrors(t, err)); n != 3 {
		t.Fatalf("%d errors: %v", n, err)
	}
}

func TestSecretsFromFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("token", "0123456789abcdef\n")
	write("key", strings.Repeat("ab", MinSecretBytes)+"\n")
	text := strings.Replace(string(Example), `token = "change-me-0123456789"`, `token_file = "token"`, 1)
	text = regexp.MustCompile(`(?m)^secret = .*$`).ReplaceAllString(text, `secret_file = "key"`)
	write("s.toml", text)
	s, err := Load(filepath.Join(dir, "s.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Operator.Token != "0123456789abcdef" || s.Tickets.Keys[0].Bytes[0] != 0xab {
		t.Fatalf("%+v", s)
	}
	if err := os.Remove(filepath.Join(dir, "key")); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(filepath.Join(dir, "s.toml")); len(fieldErrors(t, err)) != 1 {
		t.Fatal(err)
	}
	if _, err := Load(filepath.Join(dir, "none.toml")); len(fieldErrors(t, err)) != 1 {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Example)
	f.Add([]byte("[tickets]\nkeys = 3\n"))
	f.Add([]byte("instance = []\n[listen]\nentry = \"[::1]:99999\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.toml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}

// TestOperatingPageListsEveryKey checks that the settings page documents each key.
func TestOperatingPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range keysOf("", reflect.TypeFor[Settings]()) {
		last := key[strings.LastIndex(key, ".")+1:]
		if !strings.Contains(string(page), "`"+key+"`") && !strings.Contains(string(page), "`."+last+"`") {
			t.Errorf("%s is missing from the page", key)
		}
	}
}

func keysOf(prefix string, t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		key := prefix + field.Tag.Get("toml")
		switch {
		case field.Tag.Get("toml") == "" || field.Tag.Get("toml") == "-":
		case field.Type.Kind() == reflect.Struct:
			keys = append(keys, keysOf(key+".", field.Type)...)
		case field.Type.Kind() == reflect.Slice:
			keys = append(keys, keysOf(key+"[].", field.Type.Elem())...)
		default:
			keys = append(keys, key)
		}
	}
	return keys
}
