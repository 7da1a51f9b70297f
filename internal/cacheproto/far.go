package cacheproto

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"cairnfront/internal/request"
	"cairnfront/routing"
)

// Verb is the first word of a command.
type CommandKind int

// What a cache box is asked.
const (
	CommandAttempt CommandKind = iota
	CommandCancel
	CommandProbe
	CommandProbeLoad
)

// MostWrite is the size of the largest body that a txn brings.
const MaxRequestBodyBytes = 48000

// UnknownGroup is the group of a copy of which nobody told it.
const UnknownPurgeGroup = 0xffff

// Asked is a line that comes to a cache box. What is text goes on unchanged.
type Command struct {
	Kind           CommandKind
	ID             string
	ClassName      string // of the remap rule
	Object         string
	Part           string
	ObjectID       uint64
	PartNumber     uint32
	TimeoutSeconds float64 // seconds
	IdempotencyKey string
	FillSource     string
	ETag           string
	routing.StartAttempt
	BodyBytes int // of the body, which follows with End
}

var verbs = map[string]CommandKind{"do": CommandAttempt, "undo": CommandCancel, "ping": CommandProbe, "top": CommandProbeLoad}

// ParseAsked reads a line as a cache box gets it. After an error the connection is out of step.
func ParseCommand(text []byte) (Command, error) {
	w := bytes.Split(text, []byte{' '})
	verb, ok := verbs[string(w[0])]
	if !ok {
		return Command{}, fmt.Errorf("unknown command %.40q", w[0])
	}
	a := Command{Kind: verb}
	if want := map[bool]int{true: 4, false: 2}[verb == CommandAttempt]; len(w) != want || len(w[1]) == 0 || len(w[1]) > 64 {
		return a, fmt.Errorf("%s has %d words, %d are expected", w[0], len(w), want)
	}
	if a.ID = string(w[1]); verb != CommandAttempt {
		return a, nil
	}
	n, err := strconv.ParseUint(string(w[3]), 10, 32)
	if err != nil || n > MaxRequestBodyBytes {
		return a, fmt.Errorf("bad length %.40q", w[3])
	}
	a.BodyBytes = int(n)
	had := map[string]bool{}
	for pair := range strings.SplitSeq(string(w[2]), ",") {
		name, v, ok := strings.Cut(pair, "=")
		if had[name] {
			return a, fmt.Errorf("field %.40q stands twice", name)
		}
		had[name] = true
		ms := func() float64 {
			n, err := strconv.ParseUint(v, 10, 40)
			ok = ok && err == nil
			return float64(n) / 1000
		}
		switch name {
		case "profile":
			a.ClassName, ok = v, ok && v != ""
		case "thing":
			a.Object = v
			a.ObjectID, err = strconv.ParseUint(v, 16, 64)
			ok = ok && err == nil && len(v) == 16
		case "nth":
			n, err := strconv.ParseUint(v, 10, 31)
			a.Part, a.PartNumber, ok = v, uint32(n), ok && err == nil
		case "max":
			a.TimeoutSeconds = ms()
		case "replay":
			a.IdempotencyKey = v
		case "parent":
			a.FillSource = v
		case "shelf":
			n, err := strconv.ParseUint(v, 10, 8)
			a.RetentionRank, ok = int(n), ok && err == nil && n <= 3
		case "accept":
			a.MaxAgeSeconds = ms()
		case "got":
			a.ETag = v
		case "hints":
			for word := range strings.SplitSeq(v, "+") {
				switch word {
				case "ride":
					a.JoinFill = true
				case "have-only":
					a.CacheOnly = true
				case "through":
					a.ParentNoStore = true
				case "update":
					a.Revalidate = true
				default:
					ok = false
				}
			}
		}
		if !ok {
			return a, fmt.Errorf("field %.40q can't be used", pair)
		}
	}
	for _, name := range [...]string{"profile", "thing", "nth", "max"} {
		if !had[name] {
			return a, fmt.Errorf("field %s is missing", name)
		}
	}
	return a, nil
}

// Reply is an answer of a cache box. The bytes of its body have to follow, and End.
type AttemptReply struct {
	Result           routing.AttemptResult
	NotModified      bool
	Detail           routing.ResultDetail
	ETag             string
	OriginUnixMillis int64 // Unix ms, 0 for none
	PurgeGroup       int   // UnknownGroup for none
	BodyBytes        int
}

var replies = map[routing.AttemptResult]string{routing.Completed: "served", routing.ServerError: "crashed", routing.Overloaded: "overload",
	routing.NotSent: "nobody", routing.CacheMiss: "not_here"}

// AppendReply writes the line of an answer.
func AppendAttemptReply(b []byte, id string, r AttemptReply) []byte {
	word := replies[r.Result]
	if r.NotModified {
		word = "still_good"
	}
	b = append(append(append(append(b, id...), ' '), word...), ' ')
	from := len(b)
	field := func(name, v string) {
		if len(b) > from {
			b = append(b, ',')
		}
		b = append(append(append(b, name...), '='), v...)
	}
	if r.Result == routing.Completed {
		if r.ETag != "" {
			field("digest", r.ETag)
		}
		if r.OriginUnixMillis > 0 {
			field("dated", strconv.FormatInt(r.OriginUnixMillis, 10))
		}
		if r.OriginUnixMillis > 0 && r.PurgeGroup != UnknownPurgeGroup {
			field(groupField, strconv.Itoa(r.PurgeGroup))
		}
		for mark, is := range remarks {
			if is == r.Detail {
				field("remark", mark)
			}
		}
	}
	if len(b) == from {
		b = append(b, '-')
	}
	b = strconv.AppendInt(append(b, ' '), int64(r.BodyBytes), 10)
	return append(b, LineEnd...)
}

// AppendChecked answers a check; load is told if it was asked for.
func AppendProbeReply(b []byte, tag string, good bool, load string) []byte {
	word := "red"
	if good {
		word = "green"
	}
	if load = "report=" + load; load == "report=" {
		load = "-"
	}
	return append(b, tag+" "+word+" "+load+" 0"+LineEnd...)
}

// groupField is a field of our own boxes' answers: a box learns from its source which group an object is in, since
// routers do not say. Others pass it over.
const groupField = "bucket"

// dating reads what else an answer tells of a copy.
func dating(name, value string, end *request.AttemptEnd) {
	switch name {
	case "dated":
		end.OriginUnixMillis, _ = strconv.ParseInt(value, 10, 64)
	case groupField:
		if n, err := strconv.ParseUint(value, 10, 16); err == nil {
			end.PurgeGroupPlusOne = int(n) + 1
		}
	}
}
