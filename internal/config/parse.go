package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Read reads and validates a file. The returned error is one of Parse, unless the file can't be read.
func Read(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read configuration file: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a file. The steps are: YAML syntax, values, schema, then rules that a schema
// can't express. Only the first failing step is reported. For values and schema the error joins a FieldError for each
// mistake, in the order of the file; for the other steps it is a FieldError for the first mistake.
func Parse(name string, text []byte) (File, error) {
	root, err := parseYAML(name, text)
	if err != nil {
		return File{}, err
	}
	value, err := root.schemaValue()
	if err != nil {
		return File{}, err
	}
	schema, plainSchema := compiledSchema()
	if err := schema.Validate(value); err != nil {
		return File{}, root.convertValidationError(err)
	}
	fillDefaults(plainSchema, value)
	var file File
	filled, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(filled, &file)
	}
	if err != nil {
		return File{}, FieldError{File: name, Line: 1, Column: 1, Reason: err.Error()}
	}
	if err := file.validate(root); err != nil {
		return File{}, err
	}
	return file, nil
}

// document is the YAML tree of a file.
type document struct {
	name string
	root *yaml.Node
}

// parseYAML parses a file's text.
func parseYAML(name string, text []byte) (document, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return document{}, syntaxError(name, err)
	}
	return document{name: name, root: &root}, nil
}

// syntaxError converts an error of the YAML parser to a FieldError. The line number is parsed from the error's text.
func syntaxError(name string, err error) FieldError {
	mistake := FieldError{File: name, Line: 1, Column: 1, Reason: err.Error()}
	_, rest, found := strings.Cut(mistake.Reason, "line ")
	if !found {
		return mistake
	}
	number, reason, _ := strings.Cut(rest, ": ")
	if line, err := strconv.Atoi(number); err == nil {
		mistake.Line = line
		mistake.Reason = "invalid YAML: " + reason
	}
	return mistake
}

// errorAt returns a FieldError with the position of the node at a path, or of its nearest existing ancestor.
func (d document) errorAt(reason string, path ...string) FieldError {
	n := d.find(path)
	return FieldError{File: d.name, Line: n.Line, Column: n.Column, Path: strings.Join(path, "."), Reason: reason}
}

// find returns the node at a path, or its nearest existing ancestor.
func (d document) find(path []string) *yaml.Node {
	n := d.root
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

// child returns the value of a key in a mapping, or the item at an index of a sequence, or nil if there is none.
func child(n *yaml.Node, step string) *yaml.Node {
	if n.Kind == yaml.SequenceNode {
		if i, err := strconv.Atoi(step); err == nil && i < len(n.Content) {
			return n.Content[i]
		}
		return nil
	}
	if _, value := entry(n, step); value != nil {
		return value
	}
	return nil
}

// entry returns the key and value nodes of an entry in a mapping, or nil if there is none.
func entry(mapping *yaml.Node, key string) (keyNode, valueNode *yaml.Node) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			return mapping.Content[i], mapping.Content[i+1]
		}
	}
	return nil, nil
}

// schemaValue converts the tree to the value that is validated against the schema. An empty file is an empty object.
func (d document) schemaValue() (any, error) {
	if len(d.root.Content) == 0 || d.root.Content[0].Tag == "!!null" {
		return map[string]any{}, nil
	}
	c := converter{name: d.name}
	value := c.convert(d.root.Content[0], "")
	return value, errors.Join(c.mistakes...)
}

// converter converts YAML nodes to plain Go values and collects mistakes: duplicate keys, aliases, and numbers that
// JSON can't represent.
type converter struct {
	name     string
	mistakes []error
}

// addMistake records a mistake at a node.
func (c *converter) addMistake(n *yaml.Node, path, reason string) {
	c.mistakes = append(c.mistakes, FieldError{
		File:   c.name,
		Line:   n.Line,
		Column: n.Column,
		Path:   path,
		Reason: reason,
	})
}

// convert returns the plain value of a node.
func (c *converter) convert(n *yaml.Node, path string) any {
	switch n.Kind {
	case yaml.MappingNode:
		return c.convertMapping(n, path)
	case yaml.SequenceNode:
		items := make([]any, 0, len(n.Content))
		for i, item := range n.Content {
			items = append(items, c.convert(item, fmt.Sprintf("%s.%d", path, i)))
		}
		return items
	case yaml.ScalarNode:
		return c.convertScalar(n, path)
	case yaml.AliasNode, yaml.DocumentNode: // a document node is never nested in another node
	}
	c.addMistake(n, path, "anchors and aliases are not supported")
	return nil
}

// convertMapping returns the plain value of a mapping. The last value of a duplicate key is used.
func (c *converter) convertMapping(n *yaml.Node, path string) map[string]any {
	values := map[string]any{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i].Value
		if _, duplicate := values[key]; duplicate {
			c.addMistake(n.Content[i], path, fmt.Sprintf("duplicate key %q", key))
		}
		values[key] = c.convert(n.Content[i+1], strings.TrimPrefix(path+"."+key, "."))
	}
	return values
}

// convertScalar returns the plain value of a scalar. A number becomes a json.Number, and a date becomes its text.
func (c *converter) convertScalar(n *yaml.Node, path string) any {
	var value any
	if err := n.Decode(&value); err != nil {
		c.addMistake(n, path, err.Error())
	}
	switch v := value.(type) {
	case int:
		return json.Number(strconv.Itoa(v))
	case int64, uint64:
		return json.Number(fmt.Sprint(v))
	case float64:
		text := strconv.FormatFloat(v, 'g', -1, 64)
		if _, err := json.Marshal(v); err != nil {
			c.addMistake(n, path, text+" is not a finite number")
			return nil
		}
		return json.Number(text)
	case time.Time:
		return n.Value
	}
	return value
}
