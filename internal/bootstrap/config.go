// Package bootstrap reads the file that a router is started with: its addresses, limits and settings, and the
// discovery events known at that time.
//
// It owns the format of the file and the validation of its values. It converts the settings to the names of the routing
// module, which interprets them. It does not connect to the discovery service.
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

// PathVariable is the environment variable that holds the path of the file.
const PathVariable = "LB_CONFIG"

// Errors that callers can test for. All but ErrNoPath are wrapped by a FieldError.
var (
	ErrNoPath         = errors.New("read bootstrap file: " + PathVariable + " is not set")
	ErrMissing        = errors.New("missing")
	ErrInvalidAddress = errors.New("not an address of the form host:port")
	ErrInvalidSeed    = errors.New("not a 64-bit hexadecimal number")
	ErrLimitTooLow    = errors.New("missing or below the minimum")
	ErrUnnamedClass   = errors.New("request class has no name")
	ErrNoClasses      = errors.New("request_classes is missing or empty")
	ErrFixed          = errors.New("can't change without a restart")
)

// FieldError is an error in a field of the file.
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
	ClassNames       []string // of the request classes, in the order of their indices
	KnownEvents      []discovery.Event
	LastRevision     uint64 // of the last known event
}

// LoadFromEnv reads the file that PathVariable names.
func LoadFromEnv() (Config, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return Config{}, ErrNoPath
	}
	return LoadFile(path)
}

// LoadFile reads a file.
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

// CheckReload returns a FieldError that wraps ErrFixed if c differs from the running configuration in a field that
// can't change without a restart. The discovery service's address, the seed and the known events may differ.
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
			return &FieldError{Field: field.name, Err: ErrFixed}
		}
	}
	return nil
}
