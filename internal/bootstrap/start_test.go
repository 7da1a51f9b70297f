package bootstrap

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const file = `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"board":"127.0.0.1:2379","known":{"rev":1,"notices":[{"rev":1,"pool":{"endpoints":[]}}]},
"settings":{"me":2,"zones":["north hub","east"],"flavors":["std"],"extra":{"fresh_for_s":[0,12.0],"joins":true,"never_kept":[false,true]},
"limits":{"connect_timeout_s":0.4,"max_streams":32},"stats":{"source":"on_probe"},"request_classes":[{"name":"page","effect":"retryable"},{"name":"order","effect":"fragile"}]}}`

func TestFileBecomesRecords(t *testing.T) {
	m, err := Parse([]byte(file))
	assert.NoError(t, err)
	assert.Equal(t, []string{"page", "order"}, m.ClassNames)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), m.Seed)
	assert.Len(t, m.KnownEvents, 1)
	for name, want := range map[string]string{"router": "2", "zones": "north_hub,east", "fresh_s": "0,12.0", "may_join": "true",
		"uncacheable": "false,true", "connect_s": "0.4", "hops_a_connection": "32", "load_by": "checks", "remap.count": "2", "remap.0.effect": "repeatable",
		"remap.1.effect": "unrepeatable", "remap.1.name": "order"} {
		assert.Equal(t, want, m.Settings[name], name)
	}
}

func TestWhatIsWrongIsNamed(t *testing.T) {
	for want, change := range map[string][2]string{
		"JSON": {"{", "["}, "listen": {`"127.0.0.1:9090"`, `"nowhere"`}, "board": {`"board":"127.0.0.1:2379",`, ""}, "seed": {"8c1f", "zz"},
		"limits": {`"memory_mb":192`, `"memory_mb":1`}, "request_classes": {"request_classes", "other"}, "no name": {`"name":"page",`, ""},
		"known": {`"known"`, `"unknown"`}, "no events": {`{"rev":1,"pool":{"endpoints":[]}}`, ""}, "settings": {`"settings"`, `"x"`},
	} {
		_, err := Parse([]byte(strings.Replace(file, change[0], change[1], 1)))
		assert.ErrorContains(t, err, want)
	}
	t.Setenv(PathVariable, "")
	_, err := LoadFromEnv()
	assert.ErrorContains(t, err, PathVariable)
	path := filepath.Join(t.TempDir(), "x.json")
	t.Setenv(PathVariable, path)
	_, err = LoadFromEnv()
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.NoError(t, os.WriteFile(path, []byte("nonsense"), 0o600))
	_, err = LoadFromEnv()
	assert.ErrorContains(t, err, path)
}

func TestWhatMayChangeWhileRunning(t *testing.T) {
	old, err := Parse([]byte(file))
	assert.NoError(t, err)
	for want, change := range map[string][2]string{
		"": {"127.0.0.1:2379", "127.0.0.1:2380"}, "name": {"n3", "n4"}, "listen": {"9090", "9091"}, "limits": {`"memory_mb":192`, `"memory_mb":64`},
		"settings": {`"max_streams":32`, `"max_streams":31`},
	} {
		m, err := Parse([]byte(strings.Replace(file, change[0], change[1], 1)))
		assert.NoError(t, err)
		if err = m.CheckReload(old); want == "" {
			assert.NoError(t, err)
		} else {
			assert.ErrorContains(t, err, want+": can't change")
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(file))
	f.Add([]byte(strings.Replace(file, `"endpoints":[]`, `"endpoints":[{"name":"s-1","address":"10.1.0.9:9090","zone":"east","type":"std","status":"SERVING"}]`, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		if m, err := Parse(text); err == nil && (len(m.ClassNames) == 0 || len(m.KnownEvents) == 0 || m.MemoryMB < 32) {
			t.Fatalf("%+v", m)
		}
	})
}
