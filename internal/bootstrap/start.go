// Package start reads what a router is told at its start.
package bootstrap

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"cairnfront/internal/discovery"
	"cairnfront/internal/wirenames"
	"cairnfront/routing"
)

// Manifest is all that a router is told at its start.
type Config struct {
	Name, ListenAddress, DiscoveryAddress string
	Seed                                  uint64
	Cores                                 float64
	MemoryMB, MaxSockets                  int
	Settings                              routing.Settings
	ClassNames                            []string // names of the remap rules
	KnownEvents                           []discovery.Event
	LastRevision                          uint64 // number of the last known event
}

// Variable names the file to read.
const PathVariable = "LB_CONFIG"

// FromEnv reads the file that the environment names.
func LoadFromEnv() (Config, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return Config{}, errors.New(PathVariable + " is not set")
	}
	return LoadFile(path)
}

// FromFile reads a file.
func LoadFile(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	m, err := Parse(text)
	if err != nil {
		return m, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// Parse reads the text of such a file.
func Parse(text []byte) (Config, error) {
	var file struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Seed   string `json:"seed"`
		Limits struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Board    string          `json:"board"`
		Known    json.RawMessage `json:"known"`
		Settings map[string]any  `json:"settings"`
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if err := dec.Decode(&file); err != nil {
		return Config{}, fmt.Errorf("not the JSON that is expected: %w", err)
	}
	m := Config{Name: file.Name, ListenAddress: file.Listen, DiscoveryAddress: file.Board, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, MaxSockets: file.Limits.Sockets, Settings: routing.Settings{}}
	for name, addr := range map[string]string{"listen": m.ListenAddress, "board": m.DiscoveryAddress} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return m, fmt.Errorf("%s: %q is no address", name, addr)
		}
	}
	var err error
	if m.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return m, fmt.Errorf("seed: %q is no hex number of 64 bits", file.Seed)
	}
	if m.MemoryMB < 32 || m.MaxSockets < 64 {
		return m, fmt.Errorf("limits: %d MB and %d sockets are missing or too few", m.MemoryMB, m.MaxSockets)
	}
	if len(file.Settings) == 0 {
		return m, errors.New("settings: missing")
	}
	flatten(m.Settings, "", file.Settings)
	rules, _ := file.Settings["request_classes"].([]any)
	for i := range rules {
		name, _ := child(rules[i], "name").(string)
		if name == "" {
			return m, fmt.Errorf("settings: class %d has no name", i)
		}
		m.ClassNames = append(m.ClassNames, name)
	}
	if len(m.ClassNames) == 0 {
		return m, errors.New("settings: no request_classes")
	}
	if len(file.Known) == 0 {
		return m, errors.New("known: missing")
	}
	names := discovery.IndexNames{Zones: texts(file.Settings["zones"]), Kinds: texts(file.Settings["flavors"])}
	if m.KnownEvents, m.LastRevision, err = discovery.ParseKnownEvents(file.Known, names); err != nil {
		return m, fmt.Errorf("known: %w", err)
	}
	return m, nil
}

// Follows says what in a file read again can't be followed while the router runs; nil where all of it can. The
// notice board's address may change, and what is new with each start.
func (m Config) CheckReload(old Config) error {
	for _, x := range []struct {
		name string
		same bool
	}{{"name", m.Name == old.Name}, {"listen", m.ListenAddress == old.ListenAddress},
		{"limits", m.Cores == old.Cores && m.MemoryMB == old.MemoryMB && m.MaxSockets == old.MaxSockets},
		{"settings", maps.Equal(m.Settings, old.Settings) && slices.Equal(m.ClassNames, old.ClassNames)}} {
		if !x.same {
			return fmt.Errorf("%s: can't change while the router runs", x.name)
		}
	}
	return nil
}

func child(v any, name string) any {
	m, _ := v.(map[string]any)
	return m[name]
}

func texts(v any) []string {
	list, _ := v.([]any)
	out := make([]string, len(list))
	for i, x := range list {
		out[i], _ = x.(string)
	}
	return out
}

var spaces = strings.NewReplacer(" ", "_", ",", "_")

func plain(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return spaces.Replace(v)
	default:
		return fmt.Sprint(v)
	}
}

// flatten turns nested objects into the paths and texts in which the simulator's wire gives them, and renames both.
func flatten(rec routing.Settings, path string, v any) {
	put := func(text string) {
		key, value := wirenames.Setting(path, text)
		rec[key] = value
	}
	switch v := v.(type) {
	case map[string]any:
		for name, x := range v {
			if path != "" {
				name = path + "." + name
			}
			flatten(rec, name, x)
		}
	case []any:
		if len(v) > 0 && child(v[0], "name") != nil || path == "request_classes" || path == "tenants" {
			flatten(rec, path+".count", json.Number(strconv.Itoa(len(v))))
			for i, x := range v {
				flatten(rec, path+"."+strconv.Itoa(i), x)
			}
			return
		}
		items := make([]string, len(v))
		for i, x := range v {
			items[i] = plain(x)
		}
		put(strings.Join(items, ","))
	default:
		put(plain(v))
	}
}
