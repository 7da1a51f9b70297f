// Package config reads the operators' configuration file.
//
// The file is YAML. It is validated against a JSON Schema, which is published and holds the default, unit and meaning
// of each key; no default stands anywhere else. What a schema can't express is checked after it. An error names the
// file, line and column, and says what was expected there.
//
// The package reads and validates only. It doesn't watch the file, and the programs decide what of a changed file takes
// effect.
package config

import (
	"path"
	"time"
)

// File is what a configuration file says, with every default filled in.
type File struct {
	Router     Router     `json:"router"`
	Membership Membership `json:"peers"`
	EdgeCache  EdgeCache  `json:"box"`
	DiskCache  DiskCache  `json:"tier"`
}

// Router is what a router is told beside its bootstrap file.
type Router struct {
	AdminSocket string              `json:"socket"`        // path; empty for none
	RetryShare  float64             `json:"further_share"` // retries per first attempt; 0 for no budget
	RetryFloor  float64             `json:"further_least"` // retries that are always allowed in a window
	Addresses   []EndpointAddresses `json:"addresses"`
}

// EndpointAddresses are the addresses of endpoints that listen at several. It names an endpoint by Endpoint, an id or a
// pattern as of path.Match, by DiscoveryAddress, or by both.
type EndpointAddresses struct {
	Endpoint         string   `json:"member"`
	DiscoveryAddress string   `json:"board"`
	Addresses        []string `json:"list"`
}

// Matches reports whether the addresses are those of an endpoint with an id and an address that discovery tells.
func (e EndpointAddresses) Matches(id, discoveryAddress string) bool {
	if e.DiscoveryAddress != "" && e.DiscoveryAddress != discoveryAddress {
		return false
	}
	if e.Endpoint == "" {
		return e.DiscoveryAddress != ""
	}
	matched, _ := path.Match(e.Endpoint, id) // the pattern was validated
	return matched
}

// Membership is what a router is told of the other routers. Limits are per second, KB are of 1000 bytes.
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
	Address string `json:"address"` // IP:PORT; empty if it is learnt from other peers
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

// CapacityModel limits a cache process as a smaller or slower machine would.
type CapacityModel struct {
	Cores           float64 `json:"cores"`
	WorkMS          float64 `json:"work_ms"`
	LinkKBPerSecond float64 `json:"link_kb_s"`
	LatencyMS       float64 `json:"latency_ms"`
	ColdShare       float64 `json:"cold_share"`
	ColdSeconds     float64 `json:"cold_s"`
}

// SyntheticContent says what an origin serves: generated objects, or the files of a directory.
type SyntheticContent struct {
	Seed              uint64  `json:"seed"`
	Directory         string  `json:"folder"`
	MinBytes          int     `json:"least_bytes"`
	MaxBytes          int     `json:"most_bytes"`
	Groups            int     `json:"groups"`
	IdempotencyWindow Seconds `json:"window_s"`
}

// Effects of a request class in the file: what running a request twice does.
const (
	EffectIdempotent     = "repeatable"
	EffectIdempotencyKey = "keyed" // run once by an origin that recognizes the key
	EffectNonIdempotent  = "unrepeatable"
)

// Class is a request class as a cache has to know it.
type Class struct {
	Name         string  `json:"name"`
	Cacheable    bool    `json:"kept"`
	Effect       string  `json:"effect"` // EffectIdempotent, EffectIdempotencyKey or EffectNonIdempotent
	FreshSeconds float64 `json:"fresh_s"`
	StaleSeconds float64 `json:"stale_s"`
}

// DiskCache is the configuration of a cache's disk.
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

// Seconds is a duration in seconds, as the file gives it.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
