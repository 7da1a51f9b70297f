package lab

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
)

// routerProcess is a router that runs as a program of its own.
type routerProcess struct {
	name          string
	addr          string
	settingsPath  string   // of its bootstrap settings
	operatorsFile string   // empty for none
	extraEnv      []string // beside the laboratory's environment
	cmd           *exec.Cmd
	log           *os.File
}

// addRouter starts a router of a zone. All endpoints must be in the cluster before.
func (cluster *testCluster) addRouter(zone int) error {
	router, err := cluster.prepareRouter(zone)
	if err != nil {
		return err
	}
	router.operatorsFile = cluster.operatorsFile
	return cluster.startRouter(router)
}

// prepareRouter writes the bootstrap settings of a router of a zone and adds it to the cluster's routers. It does not
// start it.
func (cluster *testCluster) prepareRouter(zone int) (*routerProcess, error) {
	listener, err := listenReusableTCP()
	if err != nil {
		return nil, err
	}
	router := &routerProcess{name: fmt.Sprintf("n%d", len(cluster.routers)+1), addr: listener.Addr().String()}
	_ = listener.Close()
	text, err := json.Marshal(cluster.routerSettings(router, zone))
	if err != nil {
		return nil, err
	}
	router.settingsPath = filepath.Join(cluster.options.Directory, router.name+".json")
	if err := os.WriteFile(router.settingsPath, text, 0o600); err != nil {
		return nil, err
	}
	cluster.routers = append(cluster.routers, router)
	return router, nil
}

// startRouter starts a router's process, also again after it was killed, and waits until it is ready. A restarted
// router appends to its log.
func (cluster *testCluster) startRouter(router *routerProcess) error {
	if err := cluster.spawnRouter(router); err != nil {
		return err
	}
	return cluster.awaitRouter(router)
}

// spawnRouter starts a router's process and does not wait.
func (cluster *testCluster) spawnRouter(router *routerProcess) (err error) {
	if router.log == nil {
		if router.log, err = os.Create(filepath.Join(cluster.options.Directory, router.name+".log")); err != nil {
			return err
		}
	}
	router.cmd = exec.Command(cluster.options.Program, "serve", "--operators", router.operatorsFile)
	router.cmd.Env = append(append(os.Environ(), "LB_CONFIG="+router.settingsPath), router.extraEnv...)
	router.cmd.Stderr = router.log
	router.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := router.cmd.Start(); err != nil {
		router.cmd = nil
		return fmt.Errorf("starting router %s: %w", router.name, err)
	}
	return nil
}

// awaitRouter waits until a router is ready.
func (cluster *testCluster) awaitRouter(router *routerProcess) error {
	if err := waitUntil(10*time.Second, func() bool { return routerReady(router.addr) }); err != nil {
		return fmt.Errorf("router %s is not ready: %w; its log: %s", router.name, err, logTail(router.log.Name()))
	}
	return nil
}

// kill ends a router by SIGKILL.
func (router *routerProcess) kill() {
	if router.cmd != nil {
		_ = router.cmd.Process.Kill()
		_ = router.cmd.Wait()
		router.cmd = nil
	}
}

// usage is the CPU seconds that a router has used and its memory in MB, as the system counts them.
func (router *routerProcess) usage() (cpu, rss float64) {
	const ticks = 100 // a second, on Linux
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", router.cmd.Process.Pid)); err == nil {
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		for _, i := range []int{11, 12} { // utime and stime, proc(5)
			n, _ := strconv.ParseFloat(fields[i], 64)
			cpu += n / ticks
		}
	}
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", router.cmd.Process.Pid)); err == nil {
		n, _ := strconv.ParseFloat(strings.Fields(string(b))[1], 64)
		rss = n * float64(os.Getpagesize()) / (1 << 20)
	}
	return cpu, rss
}

// routerReady asks a router whether it takes requests.
func routerReady(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0)); err != nil {
		return false
	}
	b := make([]byte, clientproto.HeaderSize+2)
	_, err = io.ReadFull(c, b)
	return err == nil && clientproto.FrameType(b[4]) == clientproto.TypeReadinessReply && b[clientproto.HeaderSize] == 1
}

// writeOperatorsFile writes settings as an operators' file. JSON is YAML.
func writeOperatorsFile(path string, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
