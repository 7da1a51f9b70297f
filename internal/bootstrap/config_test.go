package bootstrap

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cairnfront/internal/discovery"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validFile = `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"board":"127.0.0.1:2379","known":{"rev":1,"notices":[{"rev":1,"pool":{"endpoints":[]}}]},
"settings":{"me":2,"zones":["north hub","east"],"flavors":["std"],
"extra":{"fresh_for_s":[0,12.0],"joins":true,"never_kept":[false,true]},
"limits":{"connect_timeout_s":0.4,"max_streams":32},"stats":{"source":"on_probe"},
"request_classes":[{"name":"page","effect":"retryable"},{"name":"order","effect":"fragile"}]}}`

// Guards against a field that is parsed incorrectly: the router would run with other limits or settings than those in
// the deployment's file. The parsed fields of a sample file must have the expected values.
func TestFileIsParsed(t *testing.T) {
	config, err := Parse([]byte(validFile))
	require.NoError(t, err)
	assert.Equal(t, []string{"page", "order"}, config.ClassNames)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), config.Seed)
	assert.Len(t, config.KnownEvents, 1)
	for name, want := range map[routing.SettingName]string{
		routing.SettingRouter:                        "2",
		"zones":                                      "north_hub,east",
		routing.SettingFreshTime:                     "0,12.0",
		routing.SettingFillJoining:                   "true",
		routing.SettingUncacheable:                   "false,true",
		routing.SettingConnectTimeout:                "0.4",
		routing.SettingMaxAttemptsPerConnection:      "32",
		routing.SettingLoadReportSource:              routing.LoadFromProbes,
		routing.SettingClassCount:                    "2",
		routing.ClassSetting(0, routing.ClassEffect): string(routing.Idempotent),
		routing.ClassSetting(1, routing.ClassEffect): string(routing.NonIdempotent),
		routing.ClassSetting(1, "name"):              "order",
	} {
		assert.Equal(t, want, config.Settings[name], name)
	}
}

// Guards against a router that starts with an invalid field and fails later in another place. Parsing must fail with
// the name of the field and a specific error.
func TestErrorsNameTheInvalidField(t *testing.T) {
	for _, c := range []struct {
		old, replacement string
		field            string
		want             error
	}{
		{`"127.0.0.1:9090"`, `"nowhere"`, "listen", ErrInvalidAddress},
		{`"board":"127.0.0.1:2379",`, "", "board", ErrInvalidAddress},
		{"8c1f", "zz", "seed", ErrInvalidSeed},
		{`"memory_mb":192`, `"memory_mb":1`, "limits", ErrLimitTooLow},
		{`"sockets":1024`, `"sockets":63`, "limits", ErrLimitTooLow},
		{"request_classes", "other", "settings", ErrNoClasses},
		{`"name":"page",`, "", "settings", ErrUnnamedClass},
		{`"max_streams":32`, `"max_attempts":0`, "settings.limits.max_attempts", ErrNoAttempts},
		{`"fragile"`, `"harmless"`, "settings.request_classes[1].effect", ErrUnknownEffect},
		{`"known"`, `"unknown"`, "known", ErrMissing},
		{`{"rev":1,"pool":{"endpoints":[]}}`, "", "known", discovery.ErrNoEvents},
		{`"settings"`, `"x"`, "settings", ErrMissing},
	} {
		_, err := Parse([]byte(strings.Replace(validFile, c.old, c.replacement, 1)))
		var fieldErr *FieldError
		require.ErrorAs(t, err, &fieldErr, c.old)
		assert.Equal(t, c.field, fieldErr.Field, c.old)
		require.ErrorIs(t, err, c.want, c.old)
		require.ErrorContains(t, err, c.field+": "+c.want.Error())
	}
	_, err := Parse([]byte("[" + validFile[1:]))
	var syntaxErr *json.SyntaxError
	require.ErrorAs(t, err, &syntaxErr)
	assert.ErrorContains(t, err, "JSON")
}

// A class whose latency objective is longer than its deadline is most likely a mistake. CheckObjectives must report it;
// Parse must accept it, because deployments may have such classes.
func TestObjectiveLongerThanTheDeadlineIsReported(t *testing.T) {
	for seconds, want := range map[string]error{"0.4": nil, "0.5": nil, "0.6": ErrObjectiveTooLong} {
		class := `"name":"order","on_time_s":` + seconds + `,"hard_limit_s":0.5,`
		config, err := Parse([]byte(strings.Replace(validFile, `"name":"order",`, class, 1)))
		require.NoError(t, err)
		err = config.CheckObjectives()
		require.ErrorIs(t, err, want)
		if want != nil {
			require.ErrorContains(t, err, "settings.request_classes[1].on_time_s: over the deadline: 0.6 s")
		}
	}
}

// By the protocol, unknown keys are skipped. Guards against a router that fails to start whenever the deployment's file
// gets a new key. Unknown keys and missing settings must be accepted.
func TestUnknownAndMissingKeysAreAccepted(t *testing.T) {
	for old, replacement := range map[string]string{
		`"me":2`:                    `"me":2,"new":{"key":1}`,
		`"name":"n3"`:               `"name":"n3","flow_bytes_per_s":310000`,
		`"effect":"fragile"`:        `"new":"value"`,
		`"cores":1.0`:               `"cores":1.0,"files":7`,
		`"connect_timeout_s":0.4,`:  "",
		`,"effect":"retryable"},{"`: `,"effect":"dedup"},{"`,
	} {
		_, err := Parse([]byte(strings.Replace(validFile, old, replacement, 1)))
		assert.NoError(t, err, replacement)
	}
}

// Guards against an error that does not identify the file that can't be read. The error must contain the name of the
// environment variable or the path, and must wrap its cause.
func TestErrorsNameTheUnreadableFile(t *testing.T) {
	t.Setenv(PathVariable, "")
	_, err := LoadFromEnv()
	require.ErrorIs(t, err, ErrNoPath)
	require.ErrorContains(t, err, PathVariable)
	path := filepath.Join(t.TempDir(), "x.json")
	t.Setenv(PathVariable, path)
	_, err = LoadFromEnv()
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(path, []byte("nonsense"), 0o600))
	_, err = LoadFromEnv()
	assert.ErrorContains(t, err, path)
}

// Guards against a reload that changes limits or classes while requests are open: parts of the router would use
// different values. Of the fields in this test, only a change of the discovery address must be accepted.
func TestReloadMayChangeOnlyTheDiscoveryAddress(t *testing.T) {
	running, err := Parse([]byte(validFile))
	require.NoError(t, err)
	for _, c := range []struct {
		old, replacement string
		fixedField       string
	}{
		{"127.0.0.1:2379", "127.0.0.1:2380", ""},
		{"n3", "n4", "name"},
		{"9090", "9091", "listen"},
		{`"memory_mb":192`, `"memory_mb":64`, "limits"},
		{`"max_streams":32`, `"max_streams":31`, "settings"},
	} {
		changed, err := Parse([]byte(strings.Replace(validFile, c.old, c.replacement, 1)))
		require.NoError(t, err)
		err = changed.CheckReload(running)
		if c.fixedField == "" {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, ErrRestartRequired)
		assert.ErrorContains(t, err, c.fixedField+": can't change without a restart")
	}
}

// FuzzParse checks that Parse never panics, and that accepted files have classes, events and at least the minimum
// memory.
func FuzzParse(f *testing.F) {
	const endpoint = `{"name":"s-1","address":"10.1.0.9:9090","zone":"east","type":"std","status":"SERVING"}`
	f.Add([]byte(validFile))
	f.Add([]byte(strings.Replace(validFile, `"endpoints":[]`, `"endpoints":[`+endpoint+`]`, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := Parse(text)
		if err != nil {
			return
		}
		if len(config.ClassNames) == 0 || len(config.KnownEvents) == 0 || config.MemoryMB < minMemoryMB {
			t.Fatalf("%+v", config)
		}
	})
}
