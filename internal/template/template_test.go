package template

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

const valid = `
fleet = "f"
[template.lookup]
floor_slots = 4
deadline = "1s"
retry_share = 0.1
false_ejections_per_endpoint_month = 0.01
requests_per_second = 10
routes = [{ method = "GET", path_prefix = "/{service}", idempotent = true }]
[service.stock]
template = "lookup"
deadline = "2s"
[service.lots]
template = "lookup"
[account_template.brewer]
services = ["stock", "lots"]
[account.kerri]
template = "brewer"
weight = 3
[accounts.rest]
template = "brewer"
names = ["a", "b"]
`

func parse(text string) (*Set, error) {
	return Parse(Source{Name: "t.toml", Data: []byte(text)})
}

func fieldErrors(t *testing.T, err error) []tomlfile.FieldError {
	t.Helper()
	var invalid *tomlfile.ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("error %v is not a ValidationError", err)
	}
	return invalid.Fields
}

func TestServicesInheritTemplateParameters(t *testing.T) {
	set, err := parse(valid)
	if err != nil {
		t.Fatal(err)
	}
	lots, stock := set.Services[0], set.Services[1]
	if stock.Deadline != 2*time.Second || lots.Deadline != time.Second || stock.FloorSlots != 4 {
		t.Fatalf("stock %+v, lots %+v", stock, lots)
	}
	if stock.Routes[0].PathPrefix != "/stock" || lots.Routes[0].PathPrefix != "/lots" {
		t.Fatalf("routes %v and %v", stock.Routes, lots.Routes)
	}
	if lots.MaxBodyBytes != int(defaultMaxBody) {
		t.Fatalf("max body %d", lots.MaxBodyBytes)
	}
	if len(set.Accounts) != 3 || set.Accounts[2].Weight != 3 || set.Accounts[0].Weight != 1 || len(set.Accounts[0].Services) != 2 {
		t.Fatalf("accounts %+v", set.Accounts)
	}
	if invalid := set.Config().Validate(); len(invalid) > 0 {
		t.Fatal(invalid)
	}
}

func TestTemplateParameterAppliesToAllItsServices(t *testing.T) {
	set, err := parse(strings.Replace(valid, "floor_slots = 4", "floor_slots = 5", 1))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range set.Services {
		if s.FloorSlots != 5 {
			t.Errorf("service %s: floor %d", s.Name, s.FloorSlots)
		}
	}
}

func TestParseReportsEveryInvalidField(t *testing.T) {
	_, err := parse(`
fleet = "f"
colour = "red"
[template.lookup]
floor_slots = -1
deadline = "0s"
retry_share = 2
false_ejections_per_endpoint_month = 0
max_body = "1GiB"
speed = 3
routes = [{ method = "GOT", path_prefix = "stock" }, { path_prefix = "/.damaskcove/x" }]
[service.stock]
template = "lookup"
requests_per_second = nan
[service.none]
template = "nothing"
[service.small]
template = "lookup"
floor_slots = 8
endpoints = 2
slots_per_endpoint = 4
requests_per_second = 1
[service."a b"]
template = "lookup"
requests_per_second = 1
[account_template.brewer]
services = ["stock", "stock", "beer"]
weight = 0
[account.kerri]
template = "brewer"
[account.lost]
template = "nobody"
[accounts.rest]
template = "brewer"
names = ["kerri"]
[accounts.empty]
template = "brewer"
`)
	got := make(map[string]bool)
	for _, f := range fieldErrors(t, err) {
		got[f.Key] = true
	}
	for _, key := range []string{"colour", "template.lookup.speed", "template.lookup.floor_slots", "template.lookup.deadline", "template.lookup.retry_share",
		"template.lookup.false_ejections_per_endpoint_month", "template.lookup.max_body", "template.lookup.routes[0].method",
		"template.lookup.routes[0].path_prefix", "template.lookup.routes[1].path_prefix", "service.stock.requests_per_second",
		"service.none.template", "service.none.deadline", "service.none.routes", "service.small.floor_slots", "service.a b",
		"service.stock.routes[0]", "account_template.brewer.services[1]", "account_template.brewer.services[2]",
		"account_template.brewer.weight", "account.lost.template", "account.lost.services", "accounts.rest.names", "accounts.empty.names"} {
		if !got[key] {
			t.Errorf("no error is reported for %s", key)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

func TestLoadDirectory(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a.toml", valid)
	write("b.toml", "fleet = \"f\"\n[account.late]\ntemplate = \"brewer\"\n")
	set, err := Load(dir)
	if err != nil || len(set.Accounts) != 4 {
		t.Fatalf("%+v %v", set, err)
	}
	write("c.toml", "fleet = \"g\"\n[service.stock]\ntemplate = \"lookup\"\n[account.late]\ntemplate = \"brewer\"\n")
	_, err = Load(dir)
	if invalid := fieldErrors(t, err); len(invalid) != 3 || !strings.HasSuffix(invalid[0].File, "c.toml") {
		t.Fatal(err)
	}
	for _, path := range []string{filepath.Join(dir, "none"), t.TempDir()} {
		_, err := Load(path)
		fieldErrors(t, err)
	}
}

// FuzzParse checks that the rollout package accepts every configuration that Parse accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("fleet = 3\n[service]\nx = 1\n"))
	f.Add([]byte("[template.t]\nroutes = [1, {}]\n[account.a]\nservices = [\"s\"]\n"))
	f.Add([]byte("fleet = \"f\"\n[service.s]\nfloor_slots = 9223372036854775807\nendpoints = 1\nslots_per_endpoint = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Parse(Source{Name: "fuzz.toml", Data: data})
		if err != nil {
			return
		}
		if invalid := set.Config().Validate(); len(invalid) > 0 {
			t.Fatalf("Parse accepted a configuration with invalid fields: %v", invalid)
		}
		if _, err := rollout.EncodeHead(rollout.Head{Fleet: set.Fleet}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestOperatingPageListsEveryKey checks that the templates page documents each parameter.
func TestOperatingPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating/templates.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, parameters := range []reflect.Type{reflect.TypeFor[serviceParameters](), reflect.TypeFor[accountParameters](), reflect.TypeFor[route]()} {
		for _, field := range reflect.VisibleFields(parameters) {
			if key := field.Tag.Get("toml"); !strings.Contains(string(page), "`"+key+"`") {
				t.Errorf("%s is missing from the page", key)
			}
		}
	}
}
