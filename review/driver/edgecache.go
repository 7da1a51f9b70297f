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

// edgeCache is an edge cache process of the project.
type edgeCache struct {
	addr string
	cmd  *exec.Cmd
}

// startEdgeCache starts an edge cache without a disk on a free port, and waits until it serves.
func startEdgeCache(dir string, id int, boardAddr string, s site) (*edgeCache, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config := fmt.Appendf(nil, "box:\n  id: s-%08x\n  listen: %q\n  board: %q\n  rules:\n", id, addr, boardAddr)
	effects := map[string]string{"retryable": "repeatable", "dedup": "keyed", "fragile": "unrepeatable"}
	for _, c := range s.classes {
		kept := !c.neverKept
		config = fmt.Appendf(config, "    - {name: %s, kept: %v, effect: %s}\n", c.name, kept, effects[c.effect])
	}
	path := filepath.Join(dir, fmt.Sprintf("edge-cache-%d.yaml", id))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("edge-cache-%d.log", id)))
	if err != nil {
		return nil, err
	}
	e := &edgeCache{addr: addr, cmd: exec.Command("bin/cairnfront", "edge-cache", "--config", path)}
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
	return nil, errors.New("an edge cache did not serve within 5 s")
}

// hang stops the process, and resume lets it go on.
func (e *edgeCache) hang()   { _ = e.cmd.Process.Signal(syscall.SIGSTOP) }
func (e *edgeCache) resume() { _ = e.cmd.Process.Signal(syscall.SIGCONT) }

func (e *edgeCache) kill() {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}
