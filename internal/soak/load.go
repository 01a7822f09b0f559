package soak

import (
	"fmt"
	"os/exec"
	"runtime"
)

// startLoad starts busy processes on the cores of the instances. Each has a session of its own, so that a
// scheduler that shares the processor among sessions gives each of them as much as the instances together.
func (r *run) startLoad() (end func(), err error) {
	var list []*exec.Cmd
	end = func() {
		for _, cmd := range list {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for range r.options.Load {
		cmd := exec.Command(r.options.Busy[0], r.options.Busy[1:]...)
		cmd.SysProcAttr = attributes(true)
		if err := startOn(r.options.Cores, cmd); err != nil {
			end()
			return nil, fmt.Errorf("start a busy process: %w", err)
		}
		list = append(list, cmd)
	}
	return end, nil
}

// Burn keeps one core busy until the process is killed.
func Burn() {
	for n := uint64(0); ; n++ {
		runtime.KeepAlive(n)
	}
}
