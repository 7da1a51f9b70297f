// Package bootstrap reads the file that a router is started with: its addresses, limits and settings, and the
// discovery events known at that time.
//
// It owns the form of that file and the checks of its values. It gives the settings the routing module's names but no
// meaning, and it does not follow the discovery service.
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

// Errors that are told apart. All but ErrNoPath are wrapped by a FieldError.
var (
	ErrNoPath         = errors.New(PathVariable + " is not set")
	ErrMissing        = errors.New("missing")
	ErrInvalidAddress = errors.New("not an address of the form host:port")
	ErrInvalidSeed    = errors.New("not a 64-bit hex number")
	ErrLimitTooLow    = errors.New("missing or too low")
	ErrUnnamedClass   = errors.New("request class has no name")
	ErrNoClasses      = errors.New("no request_classes")
	ErrFixed          = errors.New("can't change while the router runs")
)

// FieldError names the field of the file that an error is about.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

func (e *FieldError) Unwrap() error { return e.Err }

// Config is what a router is told at its start.
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
		return Config{}, err
	}
	config, err := Parse(text)
	if err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// CheckReload returns an error, wrapping ErrFixed, if c differs from the running configuration in what cannot change
// without a restart. The discovery service's address, the seed and the known events may differ.
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
