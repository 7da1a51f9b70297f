package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// indent is the indentation of an object's keys, relative to the key of the object.
const indent = "  "

// Defaults returns a configuration file with the default value and the description of every key. It is generated from
// the schema, with the keys in the order of the schema.
func Defaults() []byte {
	var out bytes.Buffer
	out.WriteString("# Configuration file of cairnfront: every key with its default, unit and meaning.\n")
	writeProperties(&out, decodeOrdered(Schema), 0)
	return out.Bytes()
}

// writeProperties writes the keys of an object's schema, indented for the nesting depth.
func writeProperties(out *bytes.Buffer, schema *orderedObject, depth int) {
	properties := schema.object("properties")
	if properties == nil {
		return
	}
	pad := strings.Repeat(indent, depth)
	for _, name := range properties.keys {
		property := properties.object(name)
		if value, ok := property.values["default"]; ok {
			fmt.Fprintf(out, "%s%s: %s   # %s\n", pad, name, encode(value), property.values["description"])
			writeItemProperties(out, property.object("items"), pad)
			continue
		}
		if depth == 0 {
			out.WriteString("\n")
		}
		fmt.Fprintf(out, "%s# %s\n%s%s:\n", pad, property.values["description"], pad, name)
		writeProperties(out, property, depth+1)
	}
}

// writeItemProperties writes the keys of a list's items as comments. Items is nil unless the list contains objects.
func writeItemProperties(out *bytes.Buffer, items *orderedObject, pad string) {
	if items == nil {
		return
	}
	properties := items.object("properties")
	for _, name := range properties.keys {
		property := properties.object(name)
		text := []byte("required")
		if value, ok := property.values["default"]; ok {
			text = encode(value)
		}
		fmt.Fprintf(out, "%s  # of each, %s: %s   %s\n", pad, name, text, property.values["description"])
	}
}

// encode returns a default value as JSON, which is also valid YAML.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // can't happen: the value was decoded from JSON
	}
	return text
}

// orderedObject is a JSON object that preserves the order of its keys.
type orderedObject struct {
	keys   []string
	values map[string]any
}

// object returns the object at a key, or nil if there is none.
func (o *orderedObject) object(key string) *orderedObject {
	value, _ := o.values[key].(*orderedObject)
	return value
}

// decodeOrdered decodes a JSON object. It panics on any other input, because it is used only for the embedded schema.
func decodeOrdered(text []byte) *orderedObject {
	decoder := json.NewDecoder(bytes.NewReader(text))
	object, ok := decodeValue(decoder).(*orderedObject)
	if !ok {
		panic("decode schema: not an object")
	}
	return object
}

// decodeValue decodes the next JSON value.
func decodeValue(decoder *json.Decoder) any {
	token := nextToken(decoder)
	switch token {
	case json.Delim('{'):
		object := &orderedObject{values: map[string]any{}}
		for decoder.More() {
			key, ok := nextToken(decoder).(string)
			if !ok {
				panic("decode schema: a key is not a string")
			}
			object.keys = append(object.keys, key)
			object.values[key] = decodeValue(decoder)
		}
		nextToken(decoder) // the closing brace
		return object
	case json.Delim('['):
		list := []any{}
		for decoder.More() {
			list = append(list, decodeValue(decoder))
		}
		nextToken(decoder) // the closing bracket
		return list
	}
	return token
}

// nextToken returns the next token of the schema. It panics on an error.
func nextToken(decoder *json.Decoder) json.Token {
	token, err := decoder.Token()
	if err != nil {
		panic(err)
	}
	return token
}
