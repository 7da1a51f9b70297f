//go:build review

package main

import (
	"encoding/binary"
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

// edgeProcess is an edge cache of the project that runs as a separate process.
type edgeProcess struct {
	entry   *cache // its entry in the list of the notice board; it has no listener
	listen  string
	folder  string
	command *exec.Cmd
	exited  chan struct{}
}

// newEdge chooses an address for an edge cache, which is not started yet.
func newEdge(id, zone string) (*edgeProcess, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &edgeProcess{entry: &cache{id: id, zone: zone, kind: "box", fixedAddress: listen}, listen: listen}, nil
}

// edgeConfiguration has what an edge cache needs; all other keys have their defaults.
const edgeConfiguration = `box:
  id: %q
  listen: %q
  board: %q
  rules:
%s`

// start starts the edge cache and returns once it accepts connections. Each of rules is a line of its configuration.
func (e *edgeProcess) start(env *environment, board string, rules ...string) error {
	var err error
	if e.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return err
	}
	text := fmt.Sprintf(edgeConfiguration, e.entry.id, e.listen, board, "    - "+strings.Join(rules, "\n    - ")+"\n")
	config := filepath.Join(e.folder, "edge.yaml")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(e.folder, "edge.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	e.command = exec.Command("bin/cairnfront", "edge-cache", "--config", config)
	e.command.Dir = env.root
	e.command.Stdout, e.command.Stderr = log, log
	e.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := e.command.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	running.Store(e, true)
	go func() {
		_ = e.command.Wait() // the exit status is in ProcessState
		close(e.exited)
	}()
	env.record.printf("edge cache %s started at %s, process %d", e.entry.id, e.listen, e.command.Process.Pid)
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if conn, err := net.Dial("tcp", e.listen); err == nil {
			_ = conn.Close()
			return nil
		}
	}
	return errors.New("the edge cache did not listen")
}

// stop kills the process, also if it is stopped, and removes its folder.
func (e *edgeProcess) stop() {
	if e == nil || e.command == nil || e.command.Process == nil {
		return
	}
	_ = syscall.Kill(-e.command.Process.Pid, syscall.SIGKILL) // fails if it has exited
	select {
	case <-e.exited:
	case <-time.After(exitTimeout):
	}
	_ = os.RemoveAll(e.folder)
	running.Delete(e)
}

// Kinds of events of the notice board.
const (
	eventNothing = 0
	eventList    = 1
)

// zoneNames and kindNames are the lists of the settings; the place of a name is its number on the wire.
var (
	zoneNames = []string{"hub", "z1"}
	kindNames = []string{"box", "parent", "origin"}
)

// listPayload encodes caches as the whole list.
func listPayload(caches []*cache) ([]byte, error) {
	var b []byte
	for _, c := range caches {
		id, err := strconv.ParseUint(strings.TrimPrefix(c.id, "s-"), 16, 32)
		if err != nil {
			return nil, err
		}
		address, err := net.ResolveTCPAddr("tcp", c.address())
		if err != nil {
			return nil, err
		}
		b = binary.BigEndian.AppendUint32(b, uint32(id))
		b = append(b, address.IP.To4()...)
		b = binary.BigEndian.AppendUint16(b, uint16(address.Port))
		b = append(b, 0, place(zoneNames, c.zone), place(kindNames, c.kind))
		b = binary.BigEndian.AppendUint16(b, 0)
		b = binary.BigEndian.AppendUint32(b, endpointWeight*1000)
		b = binary.BigEndian.AppendUint64(b, 0)
	}
	return b, nil
}

func place(names []string, name string) byte {
	for i, other := range names {
		if other == name {
			return byte(i)
		}
	}
	return 0
}
