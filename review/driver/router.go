//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// router is a router process, started with the run command of the deploy file.
type router struct {
	addr string
	pid  int // of the router itself: the shell has been replaced by exec
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // how it ended; read it after done is closed
}

// runCommand reads the run command from deploy/balancer.toml.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			return rest[:strings.IndexByte(rest, '"')], nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run command")
}

// freeAddr returns a loopback address whose port is free now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startRouter writes the bootstrap file and starts a router with it, and waits until the router is ready.
func startRouter(dir string, bootstrap map[string]any) (*router, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	text, err := json.MarshalIndent(bootstrap, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "router.log"))
	if err != nil {
		return nil, err
	}
	r := &router{addr: bootstrap["listen"].(string), done: make(chan struct{})}
	r.cmd = exec.Command("/bin/sh", "-c", command)
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME="+bootstrap["name"].(string), "LB_LISTEN="+r.addr)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	r.pid = r.cmd.Process.Pid
	go func() {
		r.err = r.cmd.Wait()
		close(r.done)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if askReady(r.addr) {
			return r, nil
		}
	}
	r.kill()
	return nil, errors.New("the router was not ready within 10 s")
}

// kill ends the router with SIGKILL and waits for its end.
func (r *router) kill() {
	_ = syscall.Kill(r.pid, syscall.SIGKILL)
	<-r.done
}

// ended reports whether the process has ended.
func (r *router) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// memoryMB returns the anonymous memory that the router holds, in MB of 2^20 bytes: its file pages don't count.
func (r *router) memoryMB() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kB, err := strconv.ParseFloat(strings.Fields(string(rest))[0], 64)
			return kB / 1024, err
		}
	}
	return 0, errors.New("no RssAnon")
}
