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
	startTimeout       = 10 * time.Second // until a program has to be ready
	terminationTimeout = 10 * time.Second // until a router has to end on SIGTERM
	clockTicks         = 100              // a second of CPU time, on Linux
	cpuTimeFields      = 2                // utime and stime, proc(5)
	firstCPUTimeField  = 11               // after the command's name in /proc/PID/stat
	logTailBytes       = 600              // of a log that an error quotes
)

// Router is a router that runs as a program of its own.
type Router struct {
	name         string
	addr         string
	settingsPath string   // of its bootstrap file
	configFile   string   // empty for none
	extraEnv     []string // beside the laboratory's environment
	cmd          *exec.Cmd
	log          *os.File
}

// AddRouter starts a router of a zone. All endpoints must be in the cluster before.
func (cluster *Cluster) AddRouter(zone int) error {
	router, err := cluster.PrepareRouter(zone)
	if err != nil {
		return err
	}
	router.configFile = cluster.ConfigFile
	return cluster.StartRouter(router)
}

// PrepareRouter writes the bootstrap file of a router of a zone and adds it to the cluster's routers. It does not
// start it.
func (cluster *Cluster) PrepareRouter(zone int) (*Router, error) {
	listener, err := listenReusableTCP()
	if err != nil {
		return nil, err
	}
	router := &Router{name: fmt.Sprintf("n%d", len(cluster.Routers)+1), addr: listener.Addr().String()}
	_ = listener.Close() // nobody connected; the port stays free for the router
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

// StartRouter starts a router's process, also again after it was killed, and waits until it is ready. A restarted
// router appends to its log.
func (cluster *Cluster) StartRouter(router *Router) error {
	if err := cluster.spawnRouter(router); err != nil {
		return err
	}
	return cluster.awaitRouter(router)
}

// spawnRouter starts a router's process and does not wait.
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
	if err := timing.WaitUntil(startTimeout, func() bool { return routerReady(router.addr) }); err != nil {
		return fmt.Errorf("router %s is not ready: %w; its log: %s", router.name, err, logTail(router.log.Name()))
	}
	return nil
}

// kill ends a router by SIGKILL.
func (router *Router) kill() {
	if router.cmd != nil {
		_ = router.cmd.Process.Kill() // it may have ended by itself
		_ = router.cmd.Wait()         // says that it was killed
		router.cmd = nil
	}
}

// awaitEnd waits until a router that got SIGTERM has ended, and kills one that does not. It returns what went wrong,
// after its goroutine, which waits for the process, has ended.
func (router *Router) awaitEnd() (problem string) {
	defer func() { _ = router.log.Close() }() // the router wrote it, not this process
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
		_ = router.cmd.Process.Kill() // it may have ended meanwhile
		<-ended
		return fmt.Sprintf("router %s did not end on SIGTERM", router.name)
	}
}

// Usage is the CPU time that a router has used, s, and its resident memory, MB, as the system counts them. Both are 0
// for a router that does not run.
func (router *Router) Usage() (cpuSeconds, memoryMB float64) {
	pid := router.cmd.Process.Pid
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		afterName := string(stat[strings.LastIndexByte(string(stat), ')')+1:])
		times := strings.Fields(afterName)[firstCPUTimeField:]
		for _, text := range times[:cpuTimeFields] {
			ticks, _ := strconv.ParseFloat(text, 64) // proc(5): a number
			cpuSeconds += ticks / clockTicks
		}
	}
	if statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		pages, _ := strconv.ParseFloat(strings.Fields(string(statm))[1], 64) // proc(5): a number
		memoryMB = pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return cpuSeconds, memoryMB
}

// routerReady asks a router whether it takes requests.
func routerReady(addr string) bool {
	conn, err := net.Dial("tcp", addr) //nolint:noctx // on loopback; the caller limits the time
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()               // the answer counts, not the close
	_ = conn.SetDeadline(time.Now().Add(time.Second)) // fails on a closed connection alone; then the write does too
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

// ConfigFileName is the name of a configuration file in a directory of its own.
const ConfigFileName = "operators.yaml"

// adminSocketName is the name of a router's admin socket.
const adminSocketName = "admin.sock"

// WriteConfigFile writes settings as a configuration file. JSON is YAML.
func WriteConfigFile(path string, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// logTail is the end of a log.
func logTail(path string) string {
	text, _ := os.ReadFile(path) // the error that quotes the log is worth more than one about the log
	return string(text[max(len(text)-logTailBytes, 0):])
}
