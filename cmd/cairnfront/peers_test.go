package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admin"
	"cairnfront/internal/membership"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// peerGroup has the configuration of three router processes that are peers of each other.
type peerGroup struct {
	folder  string
	entries []map[string]string
}

func (group *peerGroup) configFile(t *testing.T, i int, listen string, entries []map[string]string) string {
	t.Helper()
	path := filepath.Join(group.folder, fmt.Sprintf("config-%d.yaml", i))
	text, err := json.Marshal(map[string]any{
		"router": map[string]any{"socket": group.adminSocket(i)},
		"peers": map[string]any{
			"listen": listen, "name": group.entries[i]["name"],
			"key_file": filepath.Join(group.folder, fmt.Sprint("key-", i)), "liars": 0, "roster": entries,
		},
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

// addEntry adds a router to the roster, with a key that the program generates. It checks that generating a second key
// does not overwrite the first.
func (group *peerGroup) addEntry(t *testing.T) {
	t.Helper()
	i := len(group.entries)
	key := filepath.Join(group.folder, fmt.Sprint("key-", i))
	out, err := exec.CommandContext(t.Context(), program, "peers", "key", key).Output()
	require.NoError(t, err)
	group.entries = append(group.entries, map[string]string{
		"name": fmt.Sprint("r", i), "key": strings.TrimSpace(string(out)),
		"address": freePort(t),
	})
	_, err = exec.CommandContext(t.Context(), program, "peers", "key", key).Output()
	require.Error(t, err, "an existing key is not overwritten")
}

// conflictingConfigFile writes a configuration file for a second process with the name of an existing router, but with
// its own address and admin socket.
func (group *peerGroup) conflictingConfigFile(t *testing.T, i int) string {
	t.Helper()
	group.entries[i]["address"] = freePort(t)
	conflict := filepath.Join(group.folder, "conflict")
	require.NoError(t, os.Mkdir(conflict, 0o700))
	text, err := os.ReadFile(filepath.Join(group.folder, fmt.Sprintf("config-%d.yaml", i)))
	require.NoError(t, err)
	text = []byte(strings.ReplaceAll(string(text), group.adminSocket(i), filepath.Join(conflict, "admin")))
	var content map[string]any
	require.NoError(t, json.Unmarshal(text, &content))
	requireType[map[string]any](t, content["peers"])["listen"] = group.entries[i]["address"]
	text, err = json.Marshal(content)
	require.NoError(t, err)
	file := filepath.Join(conflict, "config.yaml")
	require.NoError(t, os.WriteFile(file, text, 0o600))
	return file
}

func (group *peerGroup) adminSocket(i int) string {
	return filepath.Join(group.folder, fmt.Sprint("admin-", i))
}

func freePort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func (group *peerGroup) report(t *testing.T, i int) (r membership.Report) {
	t.Helper()
	if data, err := admin.Call(t.Context(), group.adminSocket(i), admin.ShowPeers, nil); err == nil {
		_ = json.Unmarshal(data, &r)
	}
	return r
}

func (group *peerGroup) waitForState(t *testing.T, i int, want string) {
	t.Helper()
	require.Eventually(t, func() bool { return group.report(t, i).PartitionState == want },
		waitTimeout, 20*time.Millisecond, "router %d is %+v", i, group.report(t, i))
}

// TestRoutersTrackEachOther starts three routers with keys that the program generated, suspends and resumes one, makes
// one leave, replaces one in the roster by SIGHUP, and starts a second process under the name of another router.
//
// Routers stop, hang, leave and are added while the others run. If such a change is not detected in time, the others
// count a failed router as present, or a working one as failed.
func TestRoutersTrackEachOther(t *testing.T) {
	group := &peerGroup{folder: t.TempDir()}
	for range 4 {
		group.addEntry(t)
	}
	group.entries[2]["address"] = "" // r0 and r1 learn it from r2's datagrams
	third := freePort(t)
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	var procs []*routerProcess
	for i := range 3 {
		listen := group.entries[i]["address"]
		if i == 2 {
			listen = third
		}
		args := []string{"--config", group.configFile(t, i, listen, group.entries[:3])}
		procs = append(procs, startRouterWith(t, args, 192, cache, cache))
	}
	for i := range 3 {
		group.waitForState(t, i, "whole")
	}
	require.NoError(t, procs[1].Process.Signal(syscall.SIGSTOP))
	group.waitForState(t, 0, "majority")
	require.NoError(t, procs[1].Process.Signal(syscall.SIGCONT))
	group.waitForState(t, 0, "whole")
	group.waitForState(t, 1, "whole")
	out, err := exec.CommandContext(t.Context(), program, "peers", "--socket", group.adminSocket(0)).Output()
	require.NoError(t, err)
	assert.Contains(t, string(out), "r0: partition state complete")
	assert.Contains(t, string(out), third, "the address that r2 announced")

	require.NoError(t,
		exec.CommandContext(t.Context(), program, "peers", "leave", "--socket", group.adminSocket(2)).Run())
	require.Eventually(t, func() bool { r := group.report(t, 0); return r.Roster == 2 && r.Present == 2 }, waitTimeout,
		20*time.Millisecond)
	assert.Equal(t, "whole", group.report(t, 0).PartitionState, "a router that left is not counted")

	group.configFile(t, 0, group.entries[0]["address"], append(group.entries[:2:2], group.entries[3]))
	require.NoError(t, procs[0].Process.Signal(syscall.SIGHUP))
	replaced := func() bool { return len(group.report(t, 0).Members) == 3 && group.report(t, 0).Roster == 3 }
	require.Eventually(t, replaced, waitTimeout, 20*time.Millisecond, "r3 was added to the roster, r2 removed")

	// A second process uses r1's name: the newer process continues, the older one becomes silent.
	file := group.conflictingConfigFile(t, 1)
	require.Eventually(t, func() bool { return group.report(t, 1).UptimeSeconds > 21 },
		waitTimeout, 100*time.Millisecond,
		"until it no longer assumes that the conflicting process is its own earlier incarnation")
	startRouterWith(t, []string{"--config", file}, 192, cache, cache)
	require.Eventually(t, func() bool { return group.report(t, 1).Silent }, waitTimeout, 20*time.Millisecond)
	assert.Equal(t, "alone", group.report(t, 1).PartitionState)
}

// TestInvalidPeerConfigIsRefusedWithPlaceAndReason checks that a router does not start with a mistake in the membership
// section of its configuration file, and that it prints the reason.
//
// If a router started with a wrong roster, its peers would reject it later, without a reason in its own log.
func TestInvalidPeerConfigIsRefusedWithPlaceAndReason(t *testing.T) {
	folder := t.TempDir()
	key := filepath.Join(folder, "key")
	public, err := exec.CommandContext(t.Context(), program, "peers", "key", key).Output()
	require.NoError(t, err)
	other, err := exec.CommandContext(t.Context(), program, "peers", "key", key+"2").Output()
	require.NoError(t, err)
	mine, yours := strings.TrimSpace(string(public)), strings.TrimSpace(string(other))
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	start := filepath.Join(folder, "start.json")
	require.NoError(t,
		os.WriteFile(start, bootstrapFile("127.0.0.1:0", cache.Addr().String(), 192, cache, cache), 0o600))
	for text, want := range map[string]string{
		`{peers: {listen: "127.0.0.1:0"}}`: "config.yaml:1:9: peers.key_file: required",
		`{peers: {listen: "127.0.0.1:0", name: a, key_file: KEY, ` +
			`roster: [{name: a, key: MINE}, {name: b, key: MINE, address: "127.0.0.1:9"}]}}`: "duplicate key",
		`{peers: {listen: "127.0.0.1:0", name: a, key_file: KEY, ` +
			`roster: [{name: a, key: YOURS}, {name: b, key: MINE, address: "127.0.0.1:9"}]}}`: "the private key " +
			"is not that of this router in the roster",
		`{peers: {listen: "127.0.0.1:0", name: a, key_file: KEY, ` +
			`roster: [{name: a, key: MINE}, {name: a, key: YOURS, address: "127.0.0.1:9"}]}}`: `duplicate name "a"`,
		`{peers: {listen: "127.0.0.1:0", name: c, key_file: KEY, ` +
			`roster: [{name: a, key: MINE}, {name: b, key: YOURS, address: "127.0.0.1:9"}]}}`: "is not in the roster",
		`{peers: {listen: "127.0.0.1:0", name: a, key_file: KEY, ` +
			`roster: [{name: a, key: MINE}, {name: b, key: YOURS}]}}`: "none can be reached",
		`{peers: {listen: "127.0.0.1:0", name: a, key_file: /nowhere, ` +
			`roster: [{name: a, key: MINE}, {name: b, key: YOURS, address: "127.0.0.1:9"}]}}`: "key_file",
		`{peers: {listen: "127.0.0.1:0", name: a, key_file: KEY, liars: 5, ` +
			`roster: [{name: a, key: MINE}, {name: b, key: YOURS, address: "127.0.0.1:9"}]}}`: "byzantine peers of",
	} {
		text = strings.NewReplacer("KEY", key, "MINE", mine, "YOURS", yours).Replace(text)
		file := filepath.Join(folder, "config.yaml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		cmd := exec.CommandContext(ctx, program, "serve", "--config", file)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+start)
		out, err := cmd.CombinedOutput()
		cancel()
		require.Error(t, err)
		assert.Contains(t, string(out), want, text)
	}
}
