package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/lab/timing"
)

const (
	startTimeout       = 10 * time.Second // limit for a program to become ready
	terminationTimeout = 10 * time.Second // limit for a router to exit after SIGTERM
	clockTicks         = 100              // ticks per second of CPU time, on Linux
	cpuTimeFields      = 2                // utime and stime, see proc(5)
	firstCPUTimeField  = 11               // index of utime among the fields after the command name in /proc/PID/stat
	logTailBytes       = 600              // length of the log excerpt in an error
)

// Router is a router that runs as a separate program.
type Router struct {
	name         string
	addr         string
	settingsPath string   // path of its bootstrap file
	configFile   string   // empty if it has none
	extraEnv     []string // added to the environment of the laboratory's process
	cmd          *exec.Cmd
	log          *os.File
}

// AddRouter prepares and starts a router of a zone. The cluster must already contain all endpoints.
func (cluster *Cluster) AddRouter(zone int) error {
	router, err := cluster.PrepareRouter(zone)
	if err != nil {
		return err
	}
	router.configFile = cluster.ConfigFile
	return cluster.StartRouter(router)
}

// PrepareRouter writes the bootstrap file of a router of a zone and adds the router to the cluster, without starting
// it.
func (cluster *Cluster) PrepareRouter(zone int) (*Router, error) {
	listener, err := listenReusableTCP()
	if err != nil {
		return nil, err
	}
	router := &Router{name: fmt.Sprintf("n%d", len(cluster.Routers)+1), addr: listener.Addr().String()}
	_ = listener.Close() // no connection was accepted; the port stays free for the router
	text, err := json.Marshal(cluster.routerSettings(router, zone))
	if err != nil {
		return nil, err
	}
	router.settingsPath = filepath.Join(cluster.options.Directory, router.name+".json")
	if err := os.WriteFile(router.settingsPath, text, 0o600); err != nil {
		return nil, err
	}
	cluster.Routers = append(cluster.Routers, router)
	return router, nil
}

// StartRouter starts a router's process, for the first time or after it was killed, and waits until it is ready. A
// restarted router appends to its log.
func (cluster *Cluster) StartRouter(router *Router) error {
	if err := cluster.spawnRouter(router); err != nil {
		return err
	}
	return cluster.awaitRouter(router)
}

// spawnRouter starts a router's process without waiting until it is ready.
func (cluster *Cluster) spawnRouter(router *Router) (err error) {
	if router.log == nil {
		if router.log, err = os.Create(filepath.Join(cluster.options.Directory, router.name+".log")); err != nil {
			return err
		}
	}
	//nolint:noctx // ends by SIGTERM or kill, also where the scenario's context ended before
	router.cmd = exec.Command(cluster.options.Program, "serve", "--config", router.configFile)
	router.cmd.Env = append(append(os.Environ(), "LB_CONFIG="+router.settingsPath), router.extraEnv...)
	router.cmd.Stderr = router.log
	router.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := router.cmd.Start(); err != nil {
		router.cmd = nil
		return fmt.Errorf("start router %s: %w", router.name, err)
	}
	return nil
}

// awaitRouter waits until a router is ready.
func (cluster *Cluster) awaitRouter(router *Router) error {
	if err := timing.WaitUntil(startTimeout, func() bool { return isRouterReady(router.addr) }); err != nil {
		return fmt.Errorf("router %s is not ready: %w; its log: %s", router.name, err, logTail(router.log.Name()))
	}
	return nil
}

// kill terminates a router by SIGKILL.
func (router *Router) kill() {
	if router.cmd != nil {
		_ = router.cmd.Process.Kill() // the process may have exited already
		_ = router.cmd.Wait()         // always an error, as the process was killed
		router.cmd = nil
	}
}

// awaitExit waits until a router that got SIGTERM has exited, and kills it after a timeout. It returns a description of
// the problem, or "" after a clean exit. Its goroutine, which waits for the process, has ended by then.
func (router *Router) awaitExit() (problem string) {
	defer func() { _ = router.log.Close() }() // no buffered data to lose: only the router wrote to the log
	var waitErr error
	ended := make(chan struct{})
	go func() {
		waitErr = router.cmd.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		if waitErr != nil {
			return fmt.Sprintf("router %s ended with %v; its log: %s", router.name, waitErr, logTail(router.log.Name()))
		}
		return ""
	case <-time.After(terminationTimeout):
		_ = router.cmd.Process.Kill() // the process may have exited in the meantime
		<-ended
		return fmt.Sprintf("router %s did not end on SIGTERM", router.name)
	}
}

// Usage returns a router's total CPU time in seconds and its resident memory in MB, as the system reports them. Both
// are 0 if the router does not run.
func (router *Router) Usage() (cpuSeconds, memoryMB float64) {
	pid := router.cmd.Process.Pid
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		afterName := string(stat[strings.LastIndexByte(string(stat), ')')+1:])
		times := strings.Fields(afterName)[firstCPUTimeField:]
		for _, text := range times[:cpuTimeFields] {
			ticks, _ := strconv.ParseFloat(text, 64) // always a number, see proc(5)
			cpuSeconds += ticks / clockTicks
		}
	}
	if statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		pages, _ := strconv.ParseFloat(strings.Fields(string(statm))[1], 64) // always a number, see proc(5)
		memoryMB = pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return cpuSeconds, memoryMB
}

// isRouterReady reports whether a router answers a readiness query with "ready".
func isRouterReady(addr string) bool {
	conn, err := net.Dial("tcp", addr) //nolint:noctx // on loopback; the caller limits the time
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()               // the reply matters, not an error of the close
	_ = conn.SetDeadline(time.Now().Add(time.Second)) // fails only on a closed connection; then the write fails too
	query := append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0)
	if _, err := conn.Write(query); err != nil {
		return false
	}
	reply := make([]byte, clientproto.HeaderSize+2)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return false
	}
	isReply := clientproto.FrameType(reply[4]) == clientproto.TypeReadinessReply
	return isReply && reply[clientproto.HeaderSize] == 1
}

// ConfigFileName is the file name of a router's configuration file in its directory.
const ConfigFileName = "operators.yaml"

// adminSocketName is the file name of a router's admin socket.
const adminSocketName = "admin.sock"

// WriteConfigFile writes settings as a configuration file. It writes JSON, which is valid YAML.
func WriteConfigFile(path string, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// logTail returns the end of a log file.
func logTail(path string) string {
	text, _ := os.ReadFile(path) // the caller's error matters more than a failure to read the log
	return string(text[max(len(text)-logTailBytes, 0):])
}
