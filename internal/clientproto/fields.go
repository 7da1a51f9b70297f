package clientproto

import (
	"encoding/binary"
	"errors"
)

// ErrFieldsTruncated is returned if the fields extend past the end of the payload. Its text is sent to the client.
var ErrFieldsTruncated = errors.New("fields overrun the frame")

// Sizes in bytes of the parts of a field list.
const (
	fieldCountSize  = 1
	nameLengthSize  = 1
	valueLengthSize = 2
)

// Field is a field of a frame: a name with its value.
type Field struct {
	Name  string
	Value string
}

// ParseFields parses the list of fields at the start of a payload and returns the remaining bytes in rest.
func ParseFields(b []byte) (fields []Field, rest []byte, err error) {
	if len(b) < fieldCountSize {
		return nil, nil, ErrFieldsTruncated
	}
	count := int(b[0])
	b = b[fieldCountSize:]
	fields = make([]Field, 0, count)
	for range count {
		var field Field
		if field, b, err = parseField(b); err != nil {
			return nil, nil, err
		}
		fields = append(fields, field)
	}
	return fields, b, nil
}

func parseField(b []byte) (field Field, rest []byte, err error) {
	if len(b) < nameLengthSize {
		return Field{}, nil, ErrFieldsTruncated
	}
	nameEnd := nameLengthSize + int(b[0])
	valueStart := nameEnd + valueLengthSize
	if len(b) < valueStart {
		return Field{}, nil, ErrFieldsTruncated
	}
	valueEnd := valueStart + int(binary.BigEndian.Uint16(b[nameEnd:]))
	if len(b) < valueEnd {
		return Field{}, nil, ErrFieldsTruncated
	}
	field = Field{
		Name:  string(b[nameLengthSize:nameEnd]),
		Value: string(b[valueStart:valueEnd]),
	}
	return field, b[valueEnd:], nil
}

// AppendFields appends the encoding of a list of fields.
func AppendFields(b []byte, fields ...Field) []byte {
	b = append(b, byte(len(fields)))
	for _, field := range fields {
		b = append(b, byte(len(field.Name)))
		b = append(b, field.Name...)
		b = binary.BigEndian.AppendUint16(b, uint16(len(field.Value)))
		b = append(b, field.Value...)
	}
	return b
}
