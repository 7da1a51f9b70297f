package simadapter

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"cairnfront/routing"
)

const (
	writeBufferBytes = 1 << 18
	secondsDecimals  = 6 // the simulator's time resolution is one microsecond
)

// Flags in the last field of an attempt.
const (
	attemptFlagJoinFill      = 1
	attemptFlagCacheOnly     = 2
	attemptFlagParentNoStore = 4
	attemptFlagRevalidate    = 8
)

// actionWriter writes replies as lines. A write error is stored by the buffered writer and returned by flush.
type actionWriter struct {
	out  *bufio.Writer
	line []byte // the current line; its memory is reused
}

func newActionWriter(out io.Writer) *actionWriter {
	return &actionWriter{out: bufio.NewWriterSize(out, writeBufferBytes)}
}

// writeAction writes one action of a router.
func (w *actionWriter) writeAction(router int, action routing.Action) {
	switch action := action.(type) {
	case routing.StartAttempt:
		w.begin("ANSWER_FROM", router)
		w.text(string(action.Request))
		w.text(string(action.Endpoint))
		w.seconds(action.Deadline)
		w.text(string(action.Source))
		w.integer(action.RetentionRank)
		w.seconds(action.MaxAgeSeconds)
		w.integer(attemptFlags(action))
	case routing.CancelAttempt:
		w.begin("STOP_ATTEMPT", router)
		w.text(string(action.Request))
		w.integer(action.Attempt)
	case routing.RejectRequest:
		w.begin("DENY", router)
		w.text(string(action.Request))
		w.seconds(action.RetryAfterSeconds)
	case routing.AbortRequest:
		w.begin("LOSE", router)
		w.text(string(action.Request))
	case routing.SetTimer:
		w.begin("NOTIFY_ME", router)
		w.seconds(action.AfterSeconds)
		w.unsigned(action.Token)
	case routing.Probe:
		w.begin("CHECK", router)
		w.text(string(action.Endpoint))
	case routing.SubscribeEndpoints:
		const subscribe = 1
		w.begin("KEEP_INFORMED", router)
		w.integer(subscribe)
	case routing.LogNote:
		w.begin("NOTE_DOWN", router)
		w.text(strings.ReplaceAll(action.Message, "\n", " "))
	}
	w.end()
}

// attemptFlags returns the flags of the options that are set.
func attemptFlags(action routing.StartAttempt) int {
	flags := 0
	if action.JoinFill {
		flags |= attemptFlagJoinFill
	}
	if action.CacheOnly {
		flags |= attemptFlagCacheOnly
	}
	if action.ParentNoStore {
		flags |= attemptFlagParentNoStore
	}
	if action.Revalidate {
		flags |= attemptFlagRevalidate
	}
	return flags
}

// writePanic reports a panic of a router's decision logic.
func (w *actionWriter) writePanic(router int, text string) {
	w.begin("BUG", router)
	w.text(text)
	w.end()
}

// writeEndOfReply writes the end of the reply to a batch.
func (w *actionWriter) writeEndOfReply(batch string) {
	w.line = append(w.line[:0], "EOR"...)
	w.text(batch)
	w.end()
}

func (w *actionWriter) begin(name string, router int) {
	w.line = append(w.line[:0], name...)
	w.integer(router)
}

func (w *actionWriter) text(value string) {
	w.line = append(w.line, ' ')
	w.line = append(w.line, value...)
}

func (w *actionWriter) integer(value int) {
	w.line = append(w.line, ' ')
	w.line = strconv.AppendInt(w.line, int64(value), 10)
}

func (w *actionWriter) unsigned(value uint64) {
	w.line = append(w.line, ' ')
	w.line = strconv.AppendUint(w.line, value, 10)
}

func (w *actionWriter) seconds(value float64) {
	w.line = append(w.line, ' ')
	w.line = strconv.AppendFloat(w.line, value, 'f', secondsDecimals, 64)
}

func (w *actionWriter) end() {
	w.line = append(w.line, '\n')
	_, _ = w.out.Write(w.line) // flush returns the error
	w.line = w.line[:0]
}

func (w *actionWriter) flush() error { return w.out.Flush() }
