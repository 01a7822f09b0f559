package edit

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
)

func drawConfig(rt *rapid.T, label string) *rollout.Config {
	c := &rollout.Config{Services: map[fleet.Service]rollout.ServiceTemplate{}, Accounts: map[fleet.Account]rollout.AccountTemplate{}}
	for _, name := range []fleet.Service{"a", "b", "c"} {
		if floor := rapid.IntRange(0, 2).Draw(rt, label+string(name)); floor > 0 {
			c.Services[name] = rollout.ServiceTemplate{Name: name, FloorSlots: floor}
		}
	}
	for _, name := range []fleet.Account{"x", "y"} {
		if weight := rapid.IntRange(0, 2).Draw(rt, label+string(name)); weight > 0 {
			c.Accounts[name] = rollout.AccountTemplate{Name: name, Weight: weight}
		}
	}
	return c
}

// TestChangeTouchesOnlyEditedTemplates applies a change to its base, which must give the edited
// configuration, and to a configuration that another operator changed, in which it must touch only
// the templates that were edited.
func TestChangeTouchesOnlyEditedTemplates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base, wanted, others := drawConfig(rt, "base "), drawConfig(rt, "wanted "), drawConfig(rt, "others ")
		change := ChangeBetween(base, wanted)
		if remaining := rollout.Diff(base.With(change, 1), wanted); len(remaining) > 0 {
			rt.Fatalf("still different after the change: %v", remaining)
		}
		after := others.With(change, 1)
		edited := map[string]bool{}
		for _, name := range change.TemplateNames() {
			edited[name] = true
		}
		for _, d := range rollout.Diff(others, after) {
			if !edited[d.Template] {
				rt.Fatalf("changed a template that the operator did not edit: %v", d)
			}
		}
		for _, d := range rollout.Diff(base, wanted) {
			if !edited[d.Template] {
				rt.Fatalf("edit is missing from the change: %v", d)
			}
		}
	})
}

func TestBaseFile(t *testing.T) {
	dir := t.TempDir()
	path := BaseFile(dir)
	if got, err := ReadBase(path); got != nil || err != nil {
		t.Fatalf("%v %v", got, err)
	}
	mine := &rollout.Config{Services: map[fleet.Service]rollout.ServiceTemplate{"a": {Name: "a", FloorSlots: 1}}, Accounts: map[fleet.Account]rollout.AccountTemplate{}}
	whole := mine.With(rollout.Change{}, 7)
	theirs := mine.With(rollout.Change{Services: []rollout.ServiceTemplate{{Name: "b"}}}, 7)
	for accepted, want := range map[*rollout.Config]fleet.Revision{whole: 7, theirs: 0} {
		if err := WriteBase(path, mine, accepted); err != nil {
			t.Fatal(err)
		}
		got, err := ReadBase(path)
		if err != nil || got.Revision != want || !reflect.DeepEqual(got.Services, mine.Services) {
			t.Fatalf("%+v %v", got, err)
		}
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadBase(path); err == nil {
		t.Fatal("a corrupt base file was accepted")
	}
	if got := BaseFile(filepath.Join(dir, "t.toml")); got != filepath.Join(dir, "t.toml")+".base.json.gz" {
		t.Fatal(got)
	}
}
