package main

import (
	"context"
	"strings"
	"testing"
)

func TestSoakRefusesFlagsThatAreNotValid(t *testing.T) {
	for want, flags := range map[string][]string{
		`--report is "xml"`: {"--report", "xml"},
		"--network is 300":  {"--network", "300"},
		"0 processes":       {"--processes", "0"},
		`no fault "absent"`: {"--faults", "absent"},
		"required flag":     nil,
	} {
		args := []string{"soak"}
		if flags != nil {
			args = append(args, "--gate", "absent", "--folder", t.TempDir())
		}
		got := runCommand(context.Background(), append(args, flags...)...)
		if got.exit == exitDone || !strings.Contains(got.stderr, want) {
			t.Errorf("%v: exit %d, %s", flags, got.exit, got.stderr)
		}
	}
}

func TestSoakThatCannotBePlayedHasNoVerdict(t *testing.T) {
	got := runCommand(context.Background(), "soak", "--gate", "absent", "--folder", t.TempDir(), "--processes", "1", "--network", "250")
	if got.exit != exitFailed || strings.Contains(got.stdout, "held") || !strings.Contains(got.stderr, "could not be played as intended") {
		t.Errorf("exit %d, %s%s", got.exit, got.stdout, got.stderr)
	}
}
