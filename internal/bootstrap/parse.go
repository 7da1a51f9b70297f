package bootstrap

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"cairnfront/internal/discovery"
	"cairnfront/routing"
)

// Field names in errors. They are the keys of the JSON object.
const (
	fieldName      = "name"
	fieldListen    = "listen"
	fieldDiscovery = "board" // address of the discovery service
	fieldSeed      = "seed"
	fieldLimits    = "limits"
	fieldSettings  = "settings"
	fieldKnown     = "known" // discovery events
)

// Keys of settings that the parser itself interprets.
const (
	settingClasses = "request_classes"
	settingTenants = "tenants"
	settingZones   = "zones"
	settingKinds   = "flavors"
)

// The minimum limits that a router accepts.
const (
	minMemoryMB = 32
	minSockets  = 64
)

// file is the JSON form of a Config.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"board"`
	Seed      string          `json:"seed"`
	Limits    fileLimits      `json:"limits"`
	Settings  map[string]any  `json:"settings"`
	Known     json.RawMessage `json:"known"`
}

type fileLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Parse parses the text of a file. It returns a *FieldError, or an error of encoding/json if the text is not valid
// JSON.
func Parse(text []byte) (Config, error) {
	var parsed file
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // preserves the text of numbers in settings
	if err := decoder.Decode(&parsed); err != nil {
		return Config{}, fmt.Errorf("parse JSON: %w", err)
	}
	return parsed.config()
}

func (f *file) config() (Config, error) {
	config := Config{
		Name:             f.Name,
		ListenAddress:    f.Listen,
		DiscoveryAddress: f.Discovery,
		Cores:            f.Limits.Cores,
		MemoryMB:         f.Limits.MemoryMB,
		MaxSockets:       f.Limits.Sockets,
		Settings:         routing.Settings{},
	}
	if err := f.checkAddresses(); err != nil {
		return config, err
	}
	var err error
	if config.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return config, &FieldError{fieldSeed, fmt.Errorf("%w: %q", ErrInvalidSeed, f.Seed)}
	}
	if config.MemoryMB < minMemoryMB || config.MaxSockets < minSockets {
		err := fmt.Errorf("%w: %d MB, %d sockets", ErrLimitTooLow, config.MemoryMB, config.MaxSockets)
		return config, &FieldError{fieldLimits, err}
	}
	if len(f.Settings) == 0 {
		return config, &FieldError{fieldSettings, ErrMissing}
	}
	flatten(config.Settings, "", f.Settings)
	if config.ClassNames, err = f.classNames(); err != nil {
		return config, &FieldError{fieldSettings, err}
	}
	if err := config.validateSettings(); err != nil {
		return config, err
	}
	if len(f.Known) == 0 {
		return config, &FieldError{fieldKnown, ErrMissing}
	}
	names := discovery.IndexNames{
		Zones: stringList(f.Settings[settingZones]),
		Kinds: stringList(f.Settings[settingKinds]),
	}
	if config.KnownEvents, config.LastRevision, err = discovery.ParseKnownEvents(f.Known, names); err != nil {
		return config, &FieldError{fieldKnown, err}
	}
	return config, nil
}

func (f *file) checkAddresses() error {
	for _, field := range []struct{ name, address string }{
		{fieldListen, f.Listen},
		{fieldDiscovery, f.Discovery},
	} {
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			return &FieldError{field.name, fmt.Errorf("%w: %q", ErrInvalidAddress, field.address)}
		}
	}
	return nil
}

func (f *file) classNames() ([]string, error) {
	classes, _ := f.Settings[settingClasses].([]any) // a value of another type is reported as ErrNoClasses
	if len(classes) == 0 {
		return nil, ErrNoClasses
	}
	names := make([]string, len(classes))
	for i, class := range classes {
		names[i], _ = lookup(class, "name").(string) // a value of another type is reported as ErrUnnamedClass
		if names[i] == "" {
			return nil, fmt.Errorf("%w: index %d", ErrUnnamedClass, i)
		}
	}
	return names, nil
}

// lookup returns the value of a key in a JSON object, or nil if value is not an object or lacks the key.
func lookup(value any, key string) any {
	object, _ := value.(map[string]any)
	return object[key]
}

// stringList converts a JSON list to strings. An item that is not a string becomes the empty string.
func stringList(value any) []string {
	list, _ := value.([]any)
	out := make([]string, len(list))
	for i, item := range list {
		out[i], _ = item.(string)
	}
	return out
}
