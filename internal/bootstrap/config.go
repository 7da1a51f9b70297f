// Package bootstrap reads the bootstrap file of a router: its addresses, limits and settings, and the discovery events
// that were known when the file was written.
//
// It defines the format of the file and validates its values. It translates the settings to the names used by the
// routing module, which interprets them. It does not connect to the discovery service.
package bootstrap

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"cairnfront/internal/discovery"
	"cairnfront/routing"
)

// PathVariable is the name of the environment variable with the path of the bootstrap file.
const PathVariable = "LB_CONFIG"

// Errors that callers can test for. All except ErrNoPath are wrapped by a FieldError.
var (
	ErrNoPath          = errors.New("read bootstrap file: " + PathVariable + " is not set")
	ErrMissing         = errors.New("missing")
	ErrInvalidAddress  = errors.New("not an address of the form host:port")
	ErrInvalidSeed     = errors.New("not a 64-bit hexadecimal number")
	ErrLimitTooLow     = errors.New("missing or below the minimum")
	ErrUnnamedClass    = errors.New("request class has no name")
	ErrNoClasses       = errors.New("request_classes is missing or empty")
	ErrRestartRequired = errors.New("can't change without a restart")
)

// FieldError is an error in a field of the bootstrap file.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

func (e *FieldError) Unwrap() error { return e.Err }

// Config is the content of a bootstrap file.
type Config struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	Seed             uint64
	Cores            float64
	MemoryMB         int
	MaxSockets       int
	Settings         routing.Settings
	ClassNames       []string // names of the request classes, by class index
	KnownEvents      []discovery.Event
	LastRevision     uint64 // revision of the last known event
}

// LoadFromEnv reads the file whose path is in the environment variable PathVariable.
func LoadFromEnv() (Config, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return Config{}, ErrNoPath
	}
	return LoadFile(path)
}

// LoadFile reads and parses the bootstrap file at path.
func LoadFile(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read bootstrap file: %w", err)
	}
	config, err := Parse(text)
	if err != nil {
		return config, fmt.Errorf("parse bootstrap file %s: %w", path, err)
	}
	return config, nil
}

// CheckReload returns a FieldError that wraps ErrRestartRequired if a field that can't change without a restart differs
// between c and the running configuration. The discovery service's address, the seed and the known events may differ.
func (c Config) CheckReload(running Config) error {
	sameLimits := c.Cores == running.Cores && c.MemoryMB == running.MemoryMB && c.MaxSockets == running.MaxSockets
	sameSettings := maps.Equal(c.Settings, running.Settings) && slices.Equal(c.ClassNames, running.ClassNames)
	for _, field := range []struct {
		name string
		same bool
	}{
		{fieldName, c.Name == running.Name},
		{fieldListen, c.ListenAddress == running.ListenAddress},
		{fieldLimits, sameLimits},
		{fieldSettings, sameSettings},
	} {
		if !field.same {
			return &FieldError{Field: field.name, Err: ErrRestartRequired}
		}
	}
	return nil
}
