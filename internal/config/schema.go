package config

import (
	"bytes"
	_ "embed" // for the schema
	"fmt"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Schema is the published JSON Schema of the configuration file.
//
//go:embed schema.json
var Schema []byte

// schemaName is the name of the schema in errors of the validator.
const schemaName = "config.schema.json"

// compiledSchema returns the compiled schema for validation, and the schema as a plain value. It panics if the embedded
// schema is invalid.
var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, any) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, value); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaName), value
})

// fillDefaults adds the schema's defaults for keys that are missing in a value.
func fillDefaults(schema, value any) {
	object, _ := schema.(map[string]any)
	switch v := value.(type) {
	case []any:
		for _, item := range v {
			fillDefaults(object["items"], item)
		}
	case map[string]any:
		properties, _ := object["properties"].(map[string]any)
		for name, property := range properties {
			if _, present := v[name]; !present {
				addDefault(v, name, mustObject(property))
			}
			if item, present := v[name]; present {
				fillDefaults(property, item)
			}
		}
	}
}

// mustObject returns a part of the embedded schema as an object. It panics if the part is not an object.
func mustObject(part any) map[string]any {
	object, ok := part.(map[string]any)
	if !ok {
		panic(fmt.Sprintf("read schema: %T in place of an object", part))
	}
	return object
}

// addDefault adds the default of a property to an object. Without a default it adds an empty object for a property of
// type object, and nothing for other types.
func addDefault(object map[string]any, name string, property map[string]any) {
	if value, ok := property["default"]; ok {
		object[name] = value
	} else if property["type"] == "object" {
		object[name] = map[string]any{}
	}
}
