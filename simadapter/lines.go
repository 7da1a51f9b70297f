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
	maxQuotedBytes  = 80 // maximum length of a line quoted in an error
)

// lineReader reads lines of any length.
type lineReader struct {
	in       *bufio.Reader
	longLine []byte // buffer for a line longer than the reader's buffer
	number   int    // number of the last line read in its batch; the server sets it to 1 at the first line
}

func newLineReader(in io.Reader) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// next returns the next line without its line ending. The bytes are valid until the next call. It returns io.EOF at the
// end of the input, and ErrTruncated if the last line has no line ending.
func (r *lineReader) next() ([]byte, error) {
	r.longLine = r.longLine[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			r.longLine = append(r.longLine, part...)
			continue
		}
		if errors.Is(err, io.EOF) && len(part)+len(r.longLine) > 0 {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		r.number++
		line := part
		if len(r.longLine) > 0 {
			r.longLine = append(r.longLine, part...)
			line = r.longLine
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// nextInBatch returns the next line within a batch, where the end of the input is an error.
func (r *lineReader) nextInBatch() ([]byte, error) {
	line, err := r.next()
	if errors.Is(err, io.EOF) {
		return nil, ErrTruncated
	}
	return line, err
}

// clip truncates a line for an error message.
func clip(line []byte) string { return string(line[:min(len(line), maxQuotedBytes)]) }

// fieldReader parses the fields of a line one by one. An absent value, written as "-", gives the zero value. The first
// error is stored, and parsing may continue after it.
type fieldReader struct {
	rest []byte
	err  error
}

func (f *fieldReader) fail(reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s", ErrSyntax, reason)
	}
}

// errorIn returns the stored error with the line.
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

// id returns the next field as text, which must not be empty.
func (f *fieldReader) id() string {
	word := f.next()
	if len(word) == 0 {
		f.fail("missing value")
	}
	return string(word)
}

// router returns the next field as a router number. The line must have a field after its name.
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

// metricValue parses the value of a load metric, which must be a number.
func (f *fieldReader) metricValue(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		f.fail("bad load report")
	}
	return value
}
