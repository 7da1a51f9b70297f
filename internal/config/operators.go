// Package operators reads the operators' file: YAML, held against a published schema, with every default in that
// schema and nowhere else. An error names the file's line and column and what was expected there.
package config

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"go.yaml.in/yaml/v3"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the published JSON Schema of the file.
//
//go:embed schema.json
var Schema []byte

// Rulebook is what the file says, every default filled in.
type File struct {
	Router     Router     `json:"router"`
	Membership Membership `json:"peers"`
	EdgeCache  EdgeCache  `json:"box"`
	DiskCache  DiskCache  `json:"tier"`
}

// Router is what a router is told beside its start file.
type Router struct {
	AdminSocket string              `json:"socket"`
	RetryShare  float64             `json:"further_share"`
	RetryFloor  float64             `json:"further_least"`
	Addresses   []EndpointAddresses `json:"addresses"`
}

// Several is a member that answers at several addresses.
type EndpointAddresses struct {
	Endpoint         string   `json:"member"`
	DiscoveryAddress string   `json:"board"`
	Addresses        []string `json:"list"`
}

// Matches says whether it is about a member with an id and an address on the notice board.
func (s EndpointAddresses) Matches(id, addr string) bool {
	if s.DiscoveryAddress != "" && s.DiscoveryAddress != addr {
		return false
	}
	if s.Endpoint == "" {
		return s.DiscoveryAddress != ""
	}
	ok, _ := path.Match(s.Endpoint, id)
	return ok
}

// Peers is what a router is told of the other routers.
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

// Peer is one of the roster.
type Peer struct {
	Name    string `json:"name"`
	Key     string `json:"key"`
	Address string `json:"address"`
}

// Box is a cache box of the product.
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

// Machine is one that is played by numbers.
type CapacityModel struct {
	Cores           float64 `json:"cores"`
	WorkMS          float64 `json:"work_ms"`
	LinkKBPerSecond float64 `json:"link_kb_s"`
	LatencyMS       float64 `json:"latency_ms"`
	ColdShare       float64 `json:"cold_share"`
	ColdSeconds     float64 `json:"cold_s"`
}

// Made is what an origin makes.
type SyntheticContent struct {
	Seed              uint64  `json:"seed"`
	Directory         string  `json:"folder"`
	MinBytes          int     `json:"least_bytes"`
	MaxBytes          int     `json:"most_bytes"`
	Groups            int     `json:"groups"`
	IdempotencyWindow Seconds `json:"window_s"`
}

// Rule is a remap rule as a box has to know it.
type Class struct {
	Name         string  `json:"name"`
	Cacheable    bool    `json:"kept"`
	Effect       string  `json:"effect"`
	FreshSeconds float64 `json:"fresh_s"`
	StaleSeconds float64 `json:"stale_s"`
}

// Tier is the disk of a box.
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

// Seconds is a time as the file gives it.
type Seconds float64

// Duration is the same as a duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Mistake is one error in a file.
type FieldError struct {
	File         string
	Line, Column int
	Path, Reason string
}

func (m FieldError) Error() string {
	where := fmt.Sprintf("%s:%d:%d: ", m.File, m.Line, m.Column)
	if m.Path != "" {
		where += m.Path + ": "
	}
	return where + m.Reason
}

var compiled = sync.OnceValues(func() (*jsonschema.Schema, any) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operators.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("operators.json"), doc
})

// Read reads a file.
func Read(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("reading the operators' file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text. Its error joins all Mistakes, in the order of the file.
func Parse(name string, text []byte) (File, error) {
	var book File
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		m := FieldError{File: name, Line: 1, Column: 1, Reason: err.Error()}
		if _, rest, ok := strings.Cut(m.Reason, "line "); ok {
			n, why, _ := strings.Cut(rest, ": ")
			if line, err := strconv.Atoi(n); err == nil {
				m.Line, m.Reason = line, "not YAML: "+why
			}
		}
		return book, m
	}
	schema, doc := compiled()
	var value any = map[string]any{}
	if len(root.Content) > 0 && root.Content[0].Tag != "!!null" {
		var mistakes []error
		value = plain(name, root.Content[0], "", &mistakes)
		if len(mistakes) > 0 {
			return book, errors.Join(mistakes...)
		}
	}
	if err := schema.Validate(value); err != nil {
		return book, explain(name, &root, err)
	}
	filled, err := json.Marshal(fill(doc, value))
	if err == nil {
		err = json.Unmarshal(filled, &book)
	}
	if err != nil {
		return book, FieldError{File: name, Line: 1, Column: 1, Reason: err.Error()}
	}
	for i, x := range book.Router.Addresses {
		at := func(reason string, more ...string) error {
			path := append([]string{"router", "addresses", strconv.Itoa(i)}, more...)
			n := find(&root, path)
			return FieldError{name, n.Line, n.Column, strings.Join(path, "."), reason}
		}
		if x.Endpoint == "" && x.DiscoveryAddress == "" {
			return book, at("it names neither member nor board")
		}
		if _, err := path.Match(x.Endpoint, ""); err != nil {
			return book, at(fmt.Sprintf("%q is no pattern", x.Endpoint), "member")
		}
		for j, a := range x.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil && !strings.HasPrefix(a, "unix:/") {
				return book, at(fmt.Sprintf("%q is neither IP:PORT nor unix:/PATH", a), "list", strconv.Itoa(j))
			}
		}
	}
	if err := book.Membership.check(func(reason string, more ...string) error {
		path := append([]string{"peers"}, more...)
		n := find(&root, path)
		return FieldError{name, n.Line, n.Column, strings.Join(path, "."), reason}
	}); err != nil {
		return book, err
	}
	if b := book.EdgeCache.Synthetic; b.MinBytes > b.MaxBytes {
		n := find(&root, []string{"box", "made", "least_bytes"})
		return book, FieldError{name, n.Line, n.Column, "box.made.least_bytes", fmt.Sprintf("%d is over most_bytes, %d", b.MinBytes, b.MaxBytes)}
	}
	return book, nil
}

// check finds what a schema can't: a roster in which somebody stands twice, or that nobody can be reached by.
func (p Membership) check(at func(reason string, more ...string) error) error {
	if p.Listen == "" {
		return nil
	}
	names, keys, reached := map[string]bool{}, map[string]bool{}, false
	for i, x := range p.Roster {
		place := func(key string) []string { return []string{"roster", strconv.Itoa(i), key} }
		if raw, err := base64.StdEncoding.DecodeString(x.Key); err != nil || len(raw) != 32 {
			return at("no public key of 32 bytes in base64", place("key")...)
		}
		if names[x.Name] {
			return at(fmt.Sprintf("%q stands twice", x.Name), place("name")...)
		}
		if keys[x.Key] {
			return at("the key of two: each router has its own", place("key")...)
		}
		if x.Address != "" {
			if _, err := netip.ParseAddrPort(x.Address); err != nil {
				return at(fmt.Sprintf("%q is no IP:PORT", x.Address), place("address")...)
			}
		}
		names[x.Name], keys[x.Key], reached = true, true, reached || x.Address != "" && x.Name != p.Name
	}
	switch {
	case p.KeyFile == "":
		return at("needed where listen is set", "key_file")
	case len(p.Roster) == 0:
		return at("needed where listen is set", "roster")
	case len(p.Roster) > 1 && !reached:
		return at("none of the others has an address: nobody could be reached", "roster")
	case p.Name != "" && !names[p.Name]:
		return at(fmt.Sprintf("%q is not in the roster", p.Name), "name")
	case 3*p.FaultyPeers >= len(p.Roster) && p.FaultyPeers > 1:
		return at(fmt.Sprintf("%d of %d may not lie: under a third", p.FaultyPeers, len(p.Roster)), "liars")
	}
	return nil
}

// plain turns a node into what the schema is held against. Keys that stand twice, anchors and tags of one's own are
// mistakes.
func plain(file string, n *yaml.Node, path string, mistakes *[]error) any {
	bad := func(n *yaml.Node, reason string) {
		*mistakes = append(*mistakes, FieldError{file, n.Line, n.Column, path, reason})
	}
	switch n.Kind {
	case yaml.MappingNode:
		out := map[string]any{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i].Value
			if _, twice := out[key]; twice {
				bad(n.Content[i], fmt.Sprintf("key %q stands twice", key))
			}
			out[key] = plain(file, n.Content[i+1], strings.TrimPrefix(path+"."+key, "."), mistakes)
		}
		return out
	case yaml.SequenceNode:
		out := []any{}
		for i, x := range n.Content {
			out = append(out, plain(file, x, fmt.Sprintf("%s.%d", path, i), mistakes))
		}
		return out
	case yaml.ScalarNode:
		var v any
		if err := n.Decode(&v); err != nil {
			bad(n, err.Error())
		}
		switch x := v.(type) {
		case int:
			return json.Number(strconv.Itoa(x))
		case int64, uint64:
			return json.Number(fmt.Sprint(x))
		case float64:
			text := strconv.FormatFloat(x, 'g', -1, 64)
			if _, err := json.Marshal(x); err != nil {
				bad(n, text+" is no number that can be used")
				return nil
			}
			return json.Number(text)
		case time.Time:
			return n.Value
		}
		return v
	}
	bad(n, "anchors and aliases are not used here")
	return nil
}

// find returns the node at a path, or the nearest one above it.
func find(root *yaml.Node, path []string) *yaml.Node {
	n := root
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	for _, step := range path {
		next := child(n, step)
		if next == nil {
			return n
		}
		n = next
	}
	return n
}

func child(n *yaml.Node, step string) *yaml.Node {
	if n.Kind == yaml.SequenceNode {
		if i, err := strconv.Atoi(step); err == nil && i < len(n.Content) {
			return n.Content[i]
		}
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == step {
			return n.Content[i+1]
		}
	}
	return nil
}

// explain turns the validator's words into mistakes with places.
func explain(file string, root *yaml.Node, err error) error {
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return err
	}
	words := message.NewPrinter(language.English)
	var out []FieldError
	var walk func(*jsonschema.ValidationError)
	walk = func(v *jsonschema.ValidationError) {
		for _, c := range v.Causes {
			walk(c)
		}
		if len(v.Causes) > 0 {
			return
		}
		n := find(root, v.InstanceLocation)
		m := FieldError{file, n.Line, n.Column, strings.Join(v.InstanceLocation, "."), v.ErrorKind.LocalizedString(words)}
		if extra, ok := v.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, key := range extra.Properties {
				m := m
				for i := 0; i+1 < len(n.Content); i += 2 {
					if n.Content[i].Value == key {
						m.Line, m.Column = n.Content[i].Line, n.Content[i].Column
					}
				}
				m.Path = strings.TrimPrefix(m.Path+"."+key, ".")
				m.Reason = "unknown key"
				out = append(out, m)
			}
			return
		}
		out = append(out, m)
	}
	walk(v)
	slices.SortStableFunc(out, func(a, b FieldError) int { return (a.Line-b.Line)*1000 + a.Column - b.Column })
	errs := make([]error, len(out))
	for i, m := range out {
		errs[i] = m
	}
	return errors.Join(errs...)
}

// fill adds the schema's defaults where a value says nothing.
func fill(schema, value any) any {
	s, _ := schema.(map[string]any)
	switch v := value.(type) {
	case []any:
		for i := range v {
			v[i] = fill(s["items"], v[i])
		}
	case map[string]any:
		props, _ := s["properties"].(map[string]any)
		for name, p := range props {
			sub := p.(map[string]any)
			if _, ok := v[name]; !ok {
				if d, ok := sub["default"]; ok {
					v[name] = d
				} else if sub["type"] == "object" {
					v[name] = map[string]any{}
				}
			}
			if x, ok := v[name]; ok {
				v[name] = fill(p, x)
			}
		}
	}
	return value
}

// Defaults is a file that says every default, with what each key means.
func Defaults() []byte {
	dec := json.NewDecoder(bytes.NewReader(Schema))
	var b bytes.Buffer
	b.WriteString("# Every key of the operators' file with its default, its unit and what it is for.\n")
	root := ordered(dec)
	writeKeys(&b, root, 0)
	return b.Bytes()
}

// object is a JSON object whose keys keep their order: that of the schema is the one for people.
type object struct {
	keys   []string
	values map[string]any
}

func ordered(dec *json.Decoder) *object {
	t, err := dec.Token()
	if err != nil || t != json.Delim('{') {
		panic("the schema is no object")
	}
	return orderedRest(dec)
}

func orderedRest(dec *json.Decoder) *object {
	o := &object{values: map[string]any{}}
	for dec.More() {
		key, _ := dec.Token()
		o.keys = append(o.keys, key.(string))
		o.values[key.(string)] = orderedValue(dec)
	}
	_, _ = dec.Token()
	return o
}

func orderedValue(dec *json.Decoder) any {
	t, _ := dec.Token()
	switch t {
	case json.Delim('{'):
		return orderedRest(dec)
	case json.Delim('['):
		list := []any{}
		for dec.More() {
			list = append(list, orderedValue(dec))
		}
		_, _ = dec.Token()
		return list
	}
	return t
}

func writeKeys(b *bytes.Buffer, schema *object, depth int) {
	props, _ := schema.values["properties"].(*object)
	if props == nil {
		return
	}
	pad := strings.Repeat("  ", depth)
	for _, name := range props.keys {
		p := props.values[name].(*object)
		if d, ok := p.values["default"]; ok {
			text, _ := json.Marshal(d)
			fmt.Fprintf(b, "%s%s: %s   # %s\n", pad, name, text, p.values["description"])
			if items, ok := p.values["items"].(*object); ok {
				keys := items.values["properties"].(*object)
				for _, key := range keys.keys {
					k := keys.values[key].(*object)
					text := []byte("needed")
					if d, ok := k.values["default"]; ok {
						text, _ = json.Marshal(d)
					}
					fmt.Fprintf(b, "%s  # of each, %s: %s   %s\n", pad, key, text, k.values["description"])
				}
			}
			continue
		}
		if depth == 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(b, "%s# %s\n%s%s:\n", pad, p.values["description"], pad, name)
		writeKeys(b, p, depth+1)
	}
}
