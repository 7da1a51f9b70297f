// Package config reads the configuration file of routers and edge caches.
//
// The file is YAML. It is validated against a JSON Schema, which is published and is the only place that defines the
// default, unit and meaning of each key. Rules that a schema can't express are checked after that. An error contains
// the file, line, column, key and reason.
//
// The package only reads and validates the file; it does not watch it. The programs decide which changes take effect
// without a restart. The struct tags of File map the keys of the file to the terms used in the code.
package config

import (
	"path"
	"time"
)

// File is the content of a configuration file, with defaults for all keys that are not set. The unit and meaning of
// each key are in its description in Schema.
type File struct {
	Router     Router     `json:"router"`
	Membership Membership `json:"peers"`
	EdgeCache  EdgeCache  `json:"box"`
	DiskCache  DiskCache  `json:"tier"`
}

// Router is the part of a router's configuration that is neither in the bootstrap file nor in Membership.
type Router struct {
	AdminSocket string              `json:"socket"`        // path; empty if disabled
	RetryShare  float64             `json:"further_share"` // retries per first attempt; 0 for no retry budget
	RetryFloor  float64             `json:"further_least"` // retries allowed in each window regardless of the load
	Addresses   []EndpointAddresses `json:"addresses"`
}

// EndpointAddresses lists the addresses of an endpoint that listens on several. It selects endpoints by Endpoint, which
// is an id or a pattern for path.Match, by DiscoveryAddress, or by both.
type EndpointAddresses struct {
	Endpoint         string   `json:"member"`
	DiscoveryAddress string   `json:"board"`
	Addresses        []string `json:"list"`
}

// Matches reports whether the addresses apply to the endpoint with the given id and address in the endpoint list.
func (e EndpointAddresses) Matches(id, discoveryAddress string) bool {
	if e.DiscoveryAddress != "" && e.DiscoveryAddress != discoveryAddress {
		return false
	}
	if e.Endpoint == "" {
		return e.DiscoveryAddress != ""
	}
	matched, _ := path.Match(e.Endpoint, id) // no error, because the pattern was validated
	return matched
}

// Membership is the configuration of a router's membership. Limits are per second; a KB is 1000 bytes.
type Membership struct {
	Listen                  string  `json:"listen"`
	Advertise               string  `json:"advertise"`
	Name                    string  `json:"name"`
	Zone                    string  `json:"zone"`
	KeyFile                 string  `json:"key_file"`
	FaultyPeers             int     `json:"liars"`
	Roster                  []Peer  `json:"roster"`
	ReceiveDatagrams        float64 `json:"in_datagrams"`
	ReceiveKB               float64 `json:"in_kb"`
	ReceiveDatagramsPerPeer float64 `json:"in_each_datagrams"`
	ReceiveKBPerPeer        float64 `json:"in_each_kb"`
	SendDatagrams           float64 `json:"out_datagrams"`
	SendKB                  float64 `json:"out_kb"`
	SendDatagramsPerPeer    float64 `json:"out_each_datagrams"`
	SendKBPerPeer           float64 `json:"out_each_kb"`
}

// Peer is an entry of the roster.
type Peer struct {
	Name    string `json:"name"`
	Key     string `json:"key"`     // public key, base64
	Address string `json:"address"` // IP:PORT; empty if other peers provide it
}

// EdgeCache is the configuration of a cache process.
type EdgeCache struct {
	ID                   string           `json:"id"`
	Role                 string           `json:"role"`
	Listen               string           `json:"listen"`
	DiscoveryAddress     string           `json:"board"`
	DefaultSource        string           `json:"source"`
	MemoryMB             float64          `json:"memory_mb"`
	StreamsPerConnection int              `json:"streams"`
	MaxConnections       int              `json:"connections"`
	MaxFetches           int              `json:"fills"`
	FetchTimeout         Seconds          `json:"fill_wait_s"`
	IdleTimeout          Seconds          `json:"idle_close_s"`
	DrainTimeout         Seconds          `json:"drain_s"`
	Capacity             CapacityModel    `json:"emulate"`
	Synthetic            SyntheticContent `json:"made"`
	Classes              []Class          `json:"rules"`
}

// CapacityModel limits a cache process to the capacity of a smaller or slower machine. The zero value sets no limits.
type CapacityModel struct {
	Cores           float64 `json:"cores"`
	WorkMS          float64 `json:"work_ms"`
	LinkKBPerSecond float64 `json:"link_kb_s"`
	LatencyMS       float64 `json:"latency_ms"`
	ColdShare       float64 `json:"cold_share"`
	ColdSeconds     float64 `json:"cold_s"`
}

// SyntheticContent configures the content of an origin for tests: the files in Directory, or generated objects if
// Directory is empty.
type SyntheticContent struct {
	Seed              uint64  `json:"seed"`
	Directory         string  `json:"folder"`
	MinBytes          int     `json:"least_bytes"`
	MaxBytes          int     `json:"most_bytes"`
	Groups            int     `json:"groups"`
	IdempotencyWindow Seconds `json:"window_s"`
}

// Effects of a request class in the file: whether a request may be executed twice.
const (
	EffectIdempotent     = "repeatable"
	EffectIdempotencyKey = "keyed" // the origin recognizes the idempotency key and executes the request once
	EffectNonIdempotent  = "unrepeatable"
)

// Class is a request class in the configuration of a cache.
type Class struct {
	Name         string  `json:"name"`
	Cacheable    bool    `json:"kept"`
	Effect       string  `json:"effect"` // EffectIdempotent, EffectIdempotencyKey or EffectNonIdempotent
	FreshSeconds float64 `json:"fresh_s"`
	StaleSeconds float64 `json:"stale_s"`
}

// DiskCache is the configuration of an edge cache's disk cache.
type DiskCache struct {
	Directory        string  `json:"folder"`
	CapacityMB       float64 `json:"space_mb"`
	SegmentMB        float64 `json:"segment_mb"`
	Alpha            float64 `json:"alpha"`
	DailyWriteMB     float64 `json:"daily_write_mb"`
	GhostEntries     int     `json:"ghosts"`
	RememberedPurges int     `json:"purges"`
	Readers          int     `json:"readers"`
	ReadQueue        int     `json:"read_queue"`
	ReadTimeout      Seconds `json:"read_wait_s"`
	WriteQueue       int     `json:"write_queue"`
	SyncInterval     Seconds `json:"sync_s"`
	SnapshotInterval Seconds `json:"snapshot_s"`
}

// Seconds is a duration in seconds, the unit of the file.
type Seconds float64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
