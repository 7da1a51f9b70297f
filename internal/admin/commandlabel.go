package admin

// commandLabel is a command of the wire as the label of the counter of requests.
type commandLabel string

// commandLabels has the labels of the commands whose words on the wire are not the field's.
var commandLabels = map[commandLabel]string{
	"reach":       "addresses",
	"rest":        "cooldown",
	"unrest":      "reinstate",
	"peers-leave": "peers_leave",
}

// String returns the label's value.
func (c commandLabel) String() string {
	if label, ok := commandLabels[c]; ok {
		return label
	}
	return string(c)
}
