package routing

import (
	"strconv"
	"strings"
)

// Num reads a number, or returns the other value where the record is missing or no number.
func (rec Settings) Float(name string, otherwise float64) float64 {
	if x, err := strconv.ParseFloat(rec[name], 64); err == nil {
		return x
	}
	return otherwise
}

// Is tells whether a record says true.
func (rec Settings) Bool(name string) bool { return rec[name] == "true" }

// Item reads item i of a list set apart by commas, empty where there is none.
func (rec Settings) ListItem(name string, i int) string {
	list := rec[name]
	for ; i > 0; i-- {
		_, rest, ok := strings.Cut(list, ",")
		if !ok {
			return ""
		}
		list = rest
	}
	item, _, _ := strings.Cut(list, ",")
	return item
}

// NumItem reads item i of a list of numbers.
func (rec Settings) FloatItem(name string, i int, otherwise float64) float64 {
	if x, err := strconv.ParseFloat(rec.ListItem(name, i), 64); err == nil {
		return x
	}
	return otherwise
}

// Remap is the name of a record of remap rule n.
func ClassSetting(n ClassIndex, name string) string {
	return "remap." + strconv.Itoa(int(n)) + "." + name
}
