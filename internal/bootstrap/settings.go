package bootstrap

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"cairnfront/internal/wirenames"
	"cairnfront/routing"
)

// flatten adds a JSON value to the settings, in the format of the simulator protocol and with the names of the routing
// module. Objects become dotted paths, lists of objects become paths with indices, and lists of scalars become one
// comma-separated string.
func flatten(settings routing.Settings, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, item := range value {
			flatten(settings, joinPath(path, key), item)
		}
	case []any:
		if isObjectList(path, value) {
			flattenObjectList(settings, path, value)
			return
		}
		texts := make([]string, len(value))
		for i, item := range value {
			texts[i] = scalarText(item)
		}
		putSetting(settings, path, strings.Join(texts, ","))
	default:
		putSetting(settings, path, scalarText(value))
	}
}

// isObjectList reports whether a list contains named objects. Lists that may be empty are recognized by their paths.
func isObjectList(path string, list []any) bool {
	if path == settingClasses || path == settingTenants {
		return true
	}
	return len(list) > 0 && lookup(list[0], "name") != nil
}

func flattenObjectList(settings routing.Settings, path string, list []any) {
	putSetting(settings, joinPath(path, "count"), strconv.Itoa(len(list)))
	for i, item := range list {
		flatten(settings, joinPath(path, strconv.Itoa(i)), item)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func putSetting(settings routing.Settings, path, text string) {
	name, value := wirenames.Setting(path, text)
	settings[name] = value
}

// separators replaces the characters that separate values in the simulator protocol.
var separators = strings.NewReplacer(" ", "_", ",", "_")

// scalarText returns the string form of a scalar.
func scalarText(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case string:
		return separators.Replace(value)
	case json.Number:
		return value.String()
	default:
		return fmt.Sprint(value)
	}
}
