//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// cacheProcess is a cache process of the project.
type cacheProcess struct {
	addr string
	cmd  *exec.Cmd
}

// startParent starts a parent cache without a disk on a free port, and waits until it serves. It fetches from the
// machine with the id source.
func startParent(dir string, id, source int, boardAddr string, s site) (*cacheProcess, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config := fmt.Appendf(nil, "box:\n  id: s-%08x\n  role: parent\n  source: s-%08x\n", id, source)
	config = fmt.Appendf(config, "  listen: %q\n  board: %q\n  rules:\n", addr, boardAddr)
	effects := map[string]string{"retryable": "repeatable", "dedup": "keyed", "fragile": "unrepeatable"}
	for _, c := range s.classes {
		config = fmt.Appendf(config, "    - {name: %s, kept: %v, effect: %s}\n", c.name, !c.neverKept, effects[c.effect])
	}
	path := filepath.Join(dir, fmt.Sprintf("parent-%d.yaml", id))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("parent-%d.log", id)))
	if err != nil {
		return nil, err
	}
	e := &cacheProcess{addr: addr, cmd: exec.Command("bin/cairnfront", "edge-cache", "--config", path)}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if text, err := os.ReadFile(log.Name()); err == nil && bytes.Contains(text, []byte("msg=serving")) {
			return e, nil
		}
	}
	e.kill()
	return nil, errors.New("the parent did not serve within 5 s")
}

func (e *cacheProcess) kill() {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}
