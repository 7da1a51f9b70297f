// Package config reads the configuration file of routers and edge caches.
//
// The file is YAML. It is validated against a JSON Schema, which is published and is the only place with the default,
// unit and meaning of each key. What a schema can't express is checked after it. An error names the file, line, column
// and key, and the reason.
//
// The package reads and validates only. It doesn't watch the file. The programs decide which changes take effect
// without a restart. The keys' names are mapped to the field's terms by the struct tags of File.
package config

import (
	"path"
	"time"
)

// File is the content of a configuration file, with every default filled in.
type File struct {
	Router     Router     `json:"router"`
	Membership Membership `json:"peers"`
	EdgeCache  EdgeCache  `json:"box"`
	DiskCache  DiskCache  `json:"tier"`
}

// Router is the configuration of a router beside its bootstrap file.
type Router struct {
	AdminSocket string              `json:"socket"`        // path; empty for none
	RetryShare  float64             `json:"further_share"` // retries per first attempt; 0 for no budget
	RetryFloor  float64             `json:"further_least"` // retries that are allowed in a window at any load
	Addresses   []EndpointAddresses `json:"addresses"`
}

// EndpointAddresses are the addresses of endpoints that listen on several. It names endpoints by Endpoint, an id or a
// pattern of path.Match, by DiscoveryAddress, or by both.
type EndpointAddresses struct {
	Endpoint         string   `json:"member"`
	DiscoveryAddress string   `json:"board"`
	Addresses        []string `json:"list"`
}

// Matches reports whether the addresses are those of an endpoint with an id and an address in the endpoint list.
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

// Membership is the configuration of a router's membership. Limits are per second, a KB is 1000 bytes.
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
	Address string `json:"address"` // IP:PORT; empty if it is learned from other peers
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

// CapacityModel limits a cache process as a smaller or slower machine would; its zero value does not.
type CapacityModel struct {
	Cores           float64 `json:"cores"`
	WorkMS          float64 `json:"work_ms"`
	LinkKBPerSecond float64 `json:"link_kb_s"`
	LatencyMS       float64 `json:"latency_ms"`
	ColdShare       float64 `json:"cold_share"`
	ColdSeconds     float64 `json:"cold_s"`
}

// SyntheticContent is what an origin serves: generated objects, or the files of a directory.
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

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
