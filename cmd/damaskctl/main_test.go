package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/internal/settings"
)

// commandResult is the result of a command line.
type commandResult struct {
	exit           int
	stdout, stderr string
}

func runCommand(ctx context.Context, args ...string) commandResult {
	var stdout, stderr bytes.Buffer
	exit := runContext(ctx, args, &stdout, &stderr)
	return commandResult{exit: exit, stdout: stdout.String(), stderr: stderr.String()}
}

func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func commands(c *cobra.Command) []*cobra.Command {
	out := []*cobra.Command{c}
	for _, child := range c.Commands() {
		out = append(out, commands(child)...)
	}
	return out
}

func TestEveryCommandHasHelpAndAnExample(t *testing.T) {
	for _, c := range commands(newRoot()) {
		if c.Name() == "help" {
			continue
		}
		args := append(strings.Fields(c.CommandPath())[1:], "--help")
		got := runCommand(context.Background(), args...)
		if got.exit != exitDone || !strings.Contains(got.stdout, "Usage:") || !strings.Contains(got.stdout, "Examples:") {
			t.Errorf("%v: exit %d, %s%s", args, got.exit, got.stdout, got.stderr)
		}
		if c.Short == "" || c.Long == "" {
			t.Errorf("%s has no description", c.CommandPath())
		}
		for _, line := range strings.Split(c.Example, "\n") {
			if !strings.Contains(line, "damaskctl") && !strings.Contains(line, "curl") {
				t.Errorf("%s: example line %q", c.CommandPath(), line)
			}
		}
	}
}

func TestExitCodesOfInvalidInput(t *testing.T) {
	dir := t.TempDir()
	badTemplates := writeFile(t, filepath.Join(dir, "bad.toml"), "fleet = 3\n[service.stock]\ntemplate = \"none\"\n")
	badSettings := writeFile(t, filepath.Join(dir, "settings.toml"), "nonsense = 1\n")
	goodSettings := writeFile(t, filepath.Join(dir, "good.toml"), string(settings.Example))
	badHost := writeFile(t, filepath.Join(dir, "host.toml"), "[[groups]]\nfirst = \"192.0.2.1:1\"\ncount = 2000\n")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	taken := writeFile(t, filepath.Join(dir, "taken.toml"), "listen = \""+listener.Addr().String()+"\"\n")
	for _, step := range []struct {
		args []string
		exit int
		want string
	}{
		{[]string{"check", "../../examples/qalqan"}, exitDone, ""},
		{[]string{"check", "--settings", goodSettings}, exitDone, ""},
		{[]string{"check", badTemplates}, exitInvalidFile, "2200 config-fault"},
		{[]string{"check", filepath.Join(dir, "absent")}, exitInvalidFile, "2200 config-fault"},
		{[]string{"check", "--settings", badSettings}, exitInvalidFile, "2500 settings-fault"},
		{[]string{"check"}, exitUsage, "give TEMPLATES"},
		{[]string{"check", "--colour"}, exitUsage, "unknown flag"},
		{[]string{"wash"}, exitUsage, "unknown command"},
		{[]string{"diff"}, exitUsage, "accepts 1 arg"},
		{[]string{"diff", "../../examples/qalqan", "--platform", "localhost:1"}, exitUsage, "not an IP address"},
		{[]string{"diff", "../../examples/qalqan", "--platform", "127.0.0.1:1", "--timeout", "1s"}, exitUnavailable, "2400 store-unavailable"},
		{[]string{"apply", badTemplates, "--platform", "127.0.0.1:1"}, exitInvalidFile, "2200 config-fault"},
		{[]string{"apply", "../../examples/qalqan", "--platform", "127.0.0.1:1", "--timeout", "0s"}, exitUsage, "must be greater than 0"},
		{[]string{"apply", "../../examples/qalqan", "--platform", "127.0.0.1:1", "--wait"}, exitUsage, "--operator"},
		{[]string{"status"}, exitUsage, "--operator"},
		{[]string{"status", "--operator", "127.0.0.1:1"}, exitUnavailable, "unreachable"},
		{[]string{"status", "--operator", "localhost:1"}, exitUsage, "not an IP address"},
		{[]string{"explain", "/stock", "--operator", "127.0.0.1:1"}, exitUsage, "--account"},
		{[]string{"load"}, exitUsage, "account"},
		{[]string{"standin", "platform", "--settings", badSettings}, exitInvalidFile, "2500 settings-fault"},
		{[]string{"standin", "platform", "--settings", taken}, exitFailed, "2501 address-in-use"},
		{[]string{"standin", "upstream", "--settings", badHost}, exitInvalidFile, "groups[0].service"},
		{[]string{"standin", "upstream"}, exitUsage, "--settings"},
	} {
		got := runCommand(context.Background(), step.args...)
		if got.exit != step.exit || !strings.Contains(got.stderr, step.want) {
			t.Errorf("%v: exit %d, want %d with %q: %s", step.args, got.exit, step.exit, step.want, got.stderr)
		}
	}
}

func TestCheckPrintsEffectOfParameters(t *testing.T) {
	got := runCommand(context.Background(), "check", "../../examples/bunya-ridge")
	for _, want := range []string{"3 services", "drums", "score limit", "detects 30% failing", "80"} {
		if !strings.Contains(got.stdout, want) {
			t.Errorf("%q is missing from\n%s", want, got.stdout)
		}
	}
}

func TestRunReportsToStderr(t *testing.T) {
	var stderr bytes.Buffer
	if exit := run([]string{"wash"}, io.Discard, &stderr); exit != exitUsage || stderr.Len() == 0 {
		t.Fatalf("exit %d, %q", exit, stderr.String())
	}
}

// TestOperatingPageListsEveryCommandAndExitCode checks that the damaskctl page documents each command and exit code.
func TestOperatingPageListsEveryCommandAndExitCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating/damaskctl.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range commands(newRoot()) {
		name, _ := strings.CutPrefix(c.CommandPath(), "damaskctl ")
		if c.Name() != "help" && c.Name() != "damaskctl" && !strings.Contains(string(page), "`"+name) {
			t.Errorf("command %s is missing from the page", name)
		}
	}
	for exit := exitDone; exit <= exitNotAuthorized; exit++ {
		if !strings.Contains(string(page), fmt.Sprintf("\n| %d | ", exit)) {
			t.Errorf("exit code %d is missing from the page", exit)
		}
	}
}
