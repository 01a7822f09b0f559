package soak

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
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

func TestDescriptorsAreLimitedAndMemoryIsMeasured(t *testing.T) {
	const large = 200 << 20
	own := bytes.Repeat([]byte{1}, large) // The peak of this process is not that of the one that it starts.
	cmd := exec.Command("cat")            // It waits for its input.
	input, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := startOn(0, cmd); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	meter := meterMemory(cmd.Process.Pid, ended)
	const limit = 40
	if err := limitDescriptors(cmd.Process.Pid, limit); err != nil {
		t.Fatal(err)
	}
	var got unix.Rlimit
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &got); err != nil || got.Cur != limit {
		t.Errorf("a limit of %d descriptors, %v", got.Cur, err)
	}
	for meter.peak.Load() < 100<<10 { // It is read every memoryInterval.
		time.Sleep(memoryInterval / 10)
	}
	_ = input.Close()
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	close(ended)
	if peak := meter.bytes(cmd.ProcessState); peak < 100<<10 || peak >= large {
		t.Errorf("a peak of %d bytes, beside %d of this process", peak, len(own))
	}
}
