//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// endpointWeight is the weight of each cache, in transfers.
const endpointWeight = 40

const (
	readyTimeout = 10 * time.Second // until a started router answers that it is ready
	exitTimeout  = 5 * time.Second  // until a router has exited after SIGKILL
	pollInterval = 20 * time.Millisecond
)

// routerProcess is a router that runs as a separate process, in a process group of its own.
type routerProcess struct {
	address string
	config  string // path of its configuration
	folder  string // temporary folder of the process
	command *exec.Cmd
	exited  chan struct{}
}

// runLine finds the run command in the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startRouter writes the configuration and starts a router with it. It returns once the router says that it is ready.
func startRouter(env *environment, configuration map[string]any) (*routerProcess, error) {
	deploy, err := os.ReadFile(filepath.Join(env.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file has no run command")
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	p := &routerProcess{address: address, config: filepath.Join(folder, "config.json"), folder: folder}
	configuration["name"], configuration["listen"] = "n1", address
	text, err := json.MarshalIndent(configuration, "", " ")
	if err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	if err != nil {
		return nil, err
	}
	return p, p.start(env, string(run[1]))
}

func (p *routerProcess) start(env *environment, run string) error {
	log, err := os.Create(filepath.Join(p.folder, "router.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command("/bin/sh", "-c", run)
	p.command.Dir = env.root
	p.command.Env = append(os.Environ(),
		"LB_NAME=n1", "LB_LISTEN="+p.address, "LB_CONFIG="+p.config, "TMPDIR="+p.folder)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	running.Store(p, true)
	go func() {
		_ = p.command.Wait() // the exit status is in ProcessState
		close(p.exited)
	}()
	env.record.printf("router started at %s, process %d", p.address, p.command.Process.Pid)
	return p.awaitReady()
}

// awaitReady asks the router whether it is ready until it says so.
func (p *routerProcess) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if isReady(p.address) {
			return nil
		}
	}
	return errors.New("the router did not become ready")
}

// running holds the processes that were started and not stopped.
var running sync.Map

// stopAllProcesses kills the processes that are still running.
func stopAllProcesses() {
	running.Range(func(p, _ any) bool {
		p.(interface{ stop() }).stop() //nolint:forcetypeassert // only processes are stored
		return true
	})
}

// hasExited reports whether the process has ended.
func (p *routerProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process that the run command started.
func (p *routerProcess) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// stop kills the process and removes its folder.
func (p *routerProcess) stop() {
	if p == nil || p.command == nil || p.command.Process == nil {
		return
	}
	_ = syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL) // fails if it has exited
	select {
	case <-p.exited:
	case <-time.After(exitTimeout):
	}
	_ = os.RemoveAll(p.folder)
	running.Delete(p)
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// endpointEntry returns the entry of a cache in the list of the notice board's first event.
func endpointEntry(c *cache) map[string]any {
	return map[string]any{
		"name": c.id, "address": c.address(), "zone": c.zone, "type": c.kind, "group": 0,
		"status": "SERVING", "weight": endpointWeight, "since_ms": 0,
	}
}

// routerConfiguration returns the configuration of a router in zone "z1" of a small deployment, which is alone in its
// zone. Requests go to the caches of the zone, which fill from a parent or the origin.
func routerConfiguration(board string, memoryMB, sockets int, classes []any, caches ...*cache) map[string]any {
	var entries []any
	for _, c := range caches {
		entries = append(entries, endpointEntry(c))
	}
	neverKept, zeros, ones := make([]bool, len(classes)), make([]float64, len(classes)), make([]float64, len(classes))
	for i, class := range classes {
		neverKept[i] = class.(map[string]any)["write"] == true //nolint:forcetypeassert // classSettings made it
		ones[i] = 1
	}
	return map[string]any{
		"board": board,
		"seed":  "8c1f30d27a5be964",
		"limits": map[string]any{
			"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets,
		},
		"known": map[string]any{"rev": 1, "notices": []any{
			map[string]any{"rev": 1, "pool": map[string]any{"index": 1, "snapshot": true, "endpoints": entries}},
		}},
		"settings": map[string]any{
			"me": 0, "group_size": 1, "zone": 1, "zones": zoneNames,
			"flavors": kindNames, "registry_mode": "pushed", "step_s": 0.002,
			"extra": map[string]any{
				"count_by_zone": []int{0, 1}, "hub_of": []int{0, 0}, "link_in_kb_per_s": []float64{0, 200000},
				"fresh_for_s": zeros, "usable_after_s": zeros, "worth_when_old": ones, "never_kept": neverKept,
				"origin_kind": 2, "upper_kind": 1, "pace_kb_per_s": 10000.0, "gone_everywhere_s": 6.0,
				"notice_time_s": 0.5, "pass_through_ok": false, "sideways": "off", "tells": "all", "joins": true,
				"parent_floor": 0.1, "parent_warms_in_s": 20.0, "parent_fall_multiple": 2.0,
			},
			"limits": map[string]any{
				"cancelling": true, "connect_timeout_s": 0.4, "idle_close_s": 15.0, "max_attempts": 6,
				"max_streams": 100, "parallel_tries": false, "may_probe": false, "retry_after": true,
				"max_retry_after_s": 0.5,
			},
			"rules": map[string]any{
				"stop_sending_within_s": 2.0, "fall_multiple": 2.0, "overload_for_s": 3.0, "start_capacity": 0.26,
				"cold_s": 14.0, "grace_to_answer_s": 0.008,
			},
			"request_classes": classes,
		},
	}
}

// classSettings returns the settings of a request class.
func classSettings(name, effect string, aimSeconds, limitSeconds float64, write bool) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "group": "all", "on_time_s": aimSeconds, "aim_stretch": 2.0,
		"hard_limit_s": limitSeconds, "window_s": 6.0, "worth": 1.0, "late_worth": 0.1, "streaming": false,
		"write": write,
	}
}

// brokenf returns an error that says that the rule was broken.
func brokenf(format string, values ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, values...))
}
