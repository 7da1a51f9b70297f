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
	rest, err = scanFields(b, func(name, value []byte) {
		fields = append(fields, Field{Name: string(name), Value: string(value)})
	})
	if err != nil {
		return nil, nil, err
	}
	return fields, rest, nil
}

// scanFields passes each field at the start of a payload to visit, and returns the remaining bytes. The fields are
// parts of the payload, so that a request with many fields uses no memory besides it.
func scanFields(b []byte, visit func(name, value []byte)) (rest []byte, err error) {
	if len(b) < fieldCountSize {
		return nil, ErrFieldsTruncated
	}
	count := int(b[0])
	b = b[fieldCountSize:]
	for range count {
		name, value, rest, err := splitField(b)
		if err != nil {
			return nil, err
		}
		visit(name, value)
		b = rest
	}
	return b, nil
}

func splitField(b []byte) (name, value, rest []byte, err error) {
	if len(b) < nameLengthSize {
		return nil, nil, nil, ErrFieldsTruncated
	}
	nameEnd := nameLengthSize + int(b[0])
	valueStart := nameEnd + valueLengthSize
	if len(b) < valueStart {
		return nil, nil, nil, ErrFieldsTruncated
	}
	valueEnd := valueStart + int(binary.BigEndian.Uint16(b[nameEnd:]))
	if len(b) < valueEnd {
		return nil, nil, nil, ErrFieldsTruncated
	}
	return b[nameLengthSize:nameEnd], b[valueStart:valueEnd], b[valueEnd:], nil
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
