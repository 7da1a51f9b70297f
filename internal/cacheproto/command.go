package cacheproto

import (
	"fmt"
	"strconv"
	"strings"
)

// CommandKind is the kind of a command.
type CommandKind int

// The commands that routers send.
const (
	CommandAttempt CommandKind = iota
	CommandCancel
	CommandProbe
	CommandProbeLoad
)

// Command is a command as parsed by a cache. Fields other than Kind and ID are set only for an attempt.
type Command struct {
	Kind           CommandKind
	ID             string
	ClassName      string
	Object         string // 16 hex digits
	ObjectID       uint64 // Object as a number
	Part           string
	PartNumber     uint32 // Part as a number
	TimeoutSeconds float64
	IdempotencyKey string
	FillSource     string  // ID of the endpoint that a miss is filled from; empty for no fill
	ETag           string  // ETag of the client's copy
	RetentionRank  int     // 0 to 3; 0 stores no copy
	MaxAgeSeconds  float64 // maximum age of an acceptable copy; 0 for the fresh time of the class
	JoinFill       bool    // join a fill that is in progress
	CacheOnly      bool    // the source serves only what it has cached
	ParentNoStore  bool    // the parent stores no copy
	Revalidate     bool    // serve an ageing copy and fetch the object again
	BodyBytes      int     // size of the body, which follows the line and is ended by LineEnd
}

// Sizes and limits of the parts of a command.
const (
	shortCommandWords = 2
	attemptWords      = 4
	maxIDLength       = 64
	objectLength      = 16
	maxRetentionRank  = 3
	partBits          = 31
	millisBits        = 40
)

var commandKinds = map[string]CommandKind{
	wordAttempt:   CommandAttempt,
	wordCancel:    CommandCancel,
	wordProbe:     CommandProbe,
	wordProbeLoad: CommandProbeLoad,
}

// commandFields has a parser for each field of an attempt. The parser stores the value and reports whether it is valid.
// Unknown fields are ignored.
var commandFields = map[string]func(c *Command, value string) bool{
	fieldClass:          parseClass,
	fieldObject:         parseObject,
	fieldPart:           parsePart,
	fieldTimeout:        parseTimeout,
	fieldIdempotencyKey: parseIdempotencyKey,
	fieldFillSource:     parseFillSource,
	fieldRetentionRank:  parseRetentionRank,
	fieldMaxAge:         parseMaxAge,
	fieldOptions:        parseOptions,
	fieldClientETag:     parseClientETag,
}

var requiredCommandFields = [...]string{fieldClass, fieldObject, fieldPart, fieldTimeout}

// ParseCommand parses a line, without its line ending, as received by a cache. Its errors wrap ErrMalformed.
func ParseCommand(line []byte) (Command, error) {
	words := strings.Split(string(line), " ")
	kind, ok := commandKinds[words[0]]
	if !ok {
		return Command{}, fmt.Errorf("%w: unknown command %.40q", ErrMalformed, words[0])
	}
	command := Command{Kind: kind}
	wantWords := shortCommandWords
	if kind == CommandAttempt {
		wantWords = attemptWords
	}
	if len(words) != wantWords {
		return command, fmt.Errorf("%w: %s has %d words, expected %d", ErrMalformed, words[0], len(words), wantWords)
	}
	id := words[1]
	if id == "" || len(id) > maxIDLength {
		return command, fmt.Errorf("%w: bad ID %.40q", ErrMalformed, id)
	}
	command.ID = id
	if kind != CommandAttempt {
		return command, nil
	}
	var err error
	if command.BodyBytes, err = parseBodyBytes(words[3], MaxRequestBodyBytes); err != nil {
		return command, err
	}
	return command, command.parseFields(words[2])
}

func parseBodyBytes(text string, maximum uint64) (int, error) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n > maximum {
		return 0, fmt.Errorf("%w: bad length %.40q", ErrMalformed, text)
	}
	return int(n), nil
}

func (c *Command) parseFields(text string) error {
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, hasValue := strings.Cut(pair, "=")
		if seen[name] {
			return fmt.Errorf("%w: field %.40q occurs twice", ErrMalformed, name)
		}
		seen[name] = true
		parse := commandFields[name]
		if !hasValue || parse != nil && !parse(c, value) {
			return fmt.Errorf("%w: unusable field %.40q", ErrMalformed, pair)
		}
	}
	for _, name := range requiredCommandFields {
		if !seen[name] {
			return fmt.Errorf("%w: field %s is missing", ErrMalformed, name)
		}
	}
	return nil
}

func parseClass(c *Command, value string) bool {
	c.ClassName = value
	return value != ""
}

func parseObject(c *Command, value string) bool {
	var err error
	c.Object = value
	c.ObjectID, err = strconv.ParseUint(value, 16, 64)
	return err == nil && len(value) == objectLength
}

func parsePart(c *Command, value string) bool {
	number, err := strconv.ParseUint(value, 10, partBits)
	c.Part = value
	c.PartNumber = uint32(number)
	return err == nil
}

func parseTimeout(c *Command, value string) (ok bool) {
	c.TimeoutSeconds, ok = parseMillis(value)
	return ok
}

func parseIdempotencyKey(c *Command, value string) bool {
	c.IdempotencyKey = value
	return true
}

func parseFillSource(c *Command, value string) bool {
	c.FillSource = value
	return true
}

func parseRetentionRank(c *Command, value string) bool {
	rank, err := strconv.ParseUint(value, 10, 8)
	c.RetentionRank = int(rank)
	return err == nil && rank <= maxRetentionRank
}

func parseMaxAge(c *Command, value string) (ok bool) {
	c.MaxAgeSeconds, ok = parseMillis(value)
	return ok
}

func parseOptions(c *Command, value string) bool {
	for option := range strings.SplitSeq(value, optionSeparator) {
		switch option {
		case optionJoinFill:
			c.JoinFill = true
		case optionCacheOnly:
			c.CacheOnly = true
		case optionParentNoStore:
			c.ParentNoStore = true
		case optionRevalidate:
			c.Revalidate = true
		default:
			return false
		}
	}
	return true
}

func parseClientETag(c *Command, value string) bool {
	c.ETag = value
	return true
}

func parseMillis(text string) (seconds float64, ok bool) {
	millis, err := strconv.ParseUint(text, 10, millisBits)
	return float64(millis) / millisInSecond, err == nil
}
