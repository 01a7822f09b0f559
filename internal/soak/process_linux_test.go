package soak

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
)

func TestProcessesKeepToTheirCores(t *testing.T) {
	count := func(cores int) string {
		var out bytes.Buffer
		cmd := exec.Command("nproc")
		cmd.Stdout = &out
		if err := startOn(cores, cmd); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(out.String())
	}
	all := count(0)
	if got := count(1); got != "1" {
		t.Errorf("on one core a process has %s", got)
	}
	if got := count(0); got != all {
		t.Errorf("later processes have %s cores, the first had %s", got, all)
	}
}
