package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// FieldError is one mistake in a configuration file, with its position and reason.
type FieldError struct {
	File         string
	Line, Column int    // starting at 1
	Path         string // keys and indices separated by dots; empty if the error concerns the complete file
	Reason       string
}

// Error returns the text FILE:LINE:COLUMN: PATH: REASON.
func (e FieldError) Error() string {
	place := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Path != "" {
		place += e.Path + ": "
	}
	return place + e.Reason
}

// convertValidationError converts an error of the schema validator to a FieldError for each mistake, in the order of
// the file.
func (d document) convertValidationError(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	mistakes := d.fieldErrors(invalid, message.NewPrinter(language.English))
	slices.SortStableFunc(mistakes, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	joined := make([]error, len(mistakes))
	for i, mistake := range mistakes {
		joined[i] = mistake
	}
	return errors.Join(joined...)
}

// fieldErrors returns a FieldError for each leaf of the validator's tree of errors.
func (d document) fieldErrors(invalid *jsonschema.ValidationError, printer *message.Printer) []FieldError {
	if len(invalid.Causes) > 0 {
		var mistakes []FieldError
		for _, cause := range invalid.Causes {
			mistakes = append(mistakes, d.fieldErrors(cause, printer)...)
		}
		return mistakes
	}
	mistake := d.errorAt(invalid.ErrorKind.LocalizedString(printer), invalid.InstanceLocation...)
	if unknown, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
		return d.unknownKeys(mistake, invalid.InstanceLocation, unknown.Properties)
	}
	return []FieldError{mistake}
}

// unknownKeys returns a FieldError for each key that is not in the schema, with the position of the key.
func (d document) unknownKeys(mappingError FieldError, location, keys []string) []FieldError {
	n := d.find(location)
	mistakes := make([]FieldError, len(keys))
	for i, key := range keys {
		mistake := mappingError
		if keyNode, _ := entry(n, key); keyNode != nil {
			mistake.Line = keyNode.Line
			mistake.Column = keyNode.Column
		}
		mistake.Path = strings.TrimPrefix(mappingError.Path+"."+key, ".")
		mistake.Reason = "unknown key"
		mistakes[i] = mistake
	}
	return mistakes
}
