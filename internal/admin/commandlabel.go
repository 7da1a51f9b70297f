package admin

import "cairnfront/internal/telemetry"

// commandLabels has the labels of the commands whose words on the wire are not the field's.
var commandLabels = map[string]telemetry.AdminRequest{
	"reach":       "addresses",
	"rest":        "cooldown",
	"unrest":      "reinstate",
	"peers-leave": "peers_leave",
}

// commandLabel returns the label of a command of the wire in the counter of requests.
func commandLabel(command string) telemetry.AdminRequest {
	if label, ok := commandLabels[command]; ok {
		return label
	}
	return telemetry.AdminRequest(command)
}
