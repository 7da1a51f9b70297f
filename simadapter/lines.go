package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

const (
	readBufferBytes = 1 << 20
	maxQuotedBytes  = 80 // of a line in an error text
)

// lineReader reads lines of any length.
type lineReader struct {
	in     *bufio.Reader
	long   []byte // a line that outgrew the reader's buffer
	number int    // of the last line that was read
}

func newLineReader(in io.Reader) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// next returns the next line without its end. The bytes are valid until the next call. It returns io.EOF at the end of
// the input, and ErrTruncated where the last line has no end.
func (r *lineReader) next() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			r.long = append(r.long, part...)
			continue
		}
		if errors.Is(err, io.EOF) && len(part)+len(r.long) > 0 {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		r.number++
		line := part
		if len(r.long) > 0 {
			r.long = append(r.long, part...)
			line = r.long
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// nextInBatch is next where the input may not end.
func (r *lineReader) nextInBatch() ([]byte, error) {
	line, err := r.next()
	if errors.Is(err, io.EOF) {
		return nil, ErrTruncated
	}
	return line, err
}

// clip shortens a line for an error text.
func clip(line []byte) string { return string(line[:min(len(line), maxQuotedBytes)]) }

// fieldReader takes the values of a line one by one. An absent value, written as "-", is the zero value. The first
// error stays; reading may go on after it.
type fieldReader struct {
	rest []byte
	err  error
}

func (f *fieldReader) fail(reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s", ErrSyntax, reason)
	}
}

// errorIn adds the line to the error.
func (f *fieldReader) errorIn(line []byte) error { return fmt.Errorf("%w in %q", f.err, clip(line)) }

func (f *fieldReader) next() []byte {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	if string(word) == "-" {
		return nil
	}
	return word
}

func (f *fieldReader) text() string { return string(f.next()) }

// id is a text that has to be there.
func (f *fieldReader) id() string {
	word := f.next()
	if len(word) == 0 {
		f.fail("missing value")
	}
	return string(word)
}

// router is the number of a router. The line has to go on after its name.
func (f *fieldReader) router() int {
	if f.rest == nil {
		f.fail("missing router")
	}
	return f.integer()
}

func (f *fieldReader) integer() int {
	word := f.next()
	if len(word) == 0 {
		return 0
	}
	n, err := strconv.Atoi(string(word))
	if err != nil {
		f.fail("bad number")
	}
	return n
}

func (f *fieldReader) unsigned() uint64 {
	word := f.next()
	if len(word) == 0 {
		return 0
	}
	n, err := strconv.ParseUint(string(word), 10, 64)
	if err != nil {
		f.fail("bad number")
	}
	return n
}

func (f *fieldReader) float() float64 {
	word := f.next()
	if len(word) == 0 {
		return 0
	}
	value, err := strconv.ParseFloat(string(word), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		f.fail("bad number")
	}
	return value
}

// metricValue parses a value of a load report, which has to be a number.
func (f *fieldReader) metricValue(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		f.fail("bad load report")
	}
	return value
}
