package membership

import (
	"slices"
	"strings"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/swim"
)

// MemberReport describes a member in reports for operators. Its JSON keys are those of the first version:
//
//	life, beat: the incarnation (start and refutations); own_fails: failed probes by this router;
//	wrong, right: refuted and confirmed accusations; words_wrong, words_right: the same for observations;
//	voice: whether its observations are used; differs: whether its view differs from this router's
type MemberReport struct {
	Name                  string   `json:"name"`
	State                 string   `json:"state"`
	SinceSeconds          float64  `json:"since_s"`
	StartMillis           uint64   `json:"life"`
	Refutations           uint32   `json:"beat"`
	Address               string   `json:"address"`
	Zone                  string   `json:"zone"`
	Accusers              []string `json:"accusers"`
	FailedProbes          int      `json:"own_fails"`
	RefutedAccusations    float64  `json:"wrong"` // decayed count, as ConfirmedAccusations
	ConfirmedAccusations  float64  `json:"right"`
	Silenced              bool     `json:"silenced"` // the member's accusations are ignored
	ViewDiffers           bool     `json:"differs"`
	RefutedObservations   float64  `json:"words_wrong"` // decayed count, as ConfirmedObservations
	ConfirmedObservations float64  `json:"words_right"`
	Trusted               bool     `json:"voice"` // the member's observations are used
}

// EndpointDoubt is a doubt about an endpoint, with the observation of each witness. The JSON key "member" is the
// endpoint.
type EndpointDoubt struct {
	Endpoint  string   `json:"member"`
	Level     float64  `json:"doubt"`
	Witnesses []string `json:"witnesses"`
}

// Report is the state of a node in reports for operators. Its JSON keys are those of the first version:
//
//	standing: the partition state; there: number of members present; held_back: datagrams dropped by the send limit;
//	health: Lifeguard's health score, 0 is best;
//	detected, detect_p50_s, detect_p99_s: number of failures, and percentiles of the time from suspicion to failure
type Report struct {
	Name                string          `json:"name"`
	PartitionState      string          `json:"standing"`
	Epoch               uint64          `json:"epoch"`
	SinceSeconds        float64         `json:"since_s"`
	Present             int             `json:"there"`
	Roster              int             `json:"roster"`
	Health              int             `json:"health"`
	Silent              bool            `json:"silent"` // another process uses this router's name; nothing is sent
	UptimeSeconds       float64         `json:"up_s"`
	InBytes             int64           `json:"in_bytes"`
	InDatagrams         int64           `json:"in_datagrams"`
	OutBytes            int64           `json:"out_bytes"`
	OutDatagrams        int64           `json:"out_datagrams"`
	SendsDropped        int64           `json:"held_back"`
	DetectionP50Seconds float64         `json:"detect_p50_s"`
	DetectionP99Seconds float64         `json:"detect_p99_s"`
	Detections          int64           `json:"detected"`
	Members             []MemberReport  `json:"peers"`
	Doubts              []EndpointDoubt `json:"doubts"`
}

func (n *Node) report() Report {
	now := n.now()
	state, epoch, since := n.partition.Current()
	present, roster, _ := n.view.Counts()
	return Report{
		Name:                n.config.Name,
		PartitionState:      state.WireName(),
		Epoch:               epoch,
		SinceSeconds:        now - since,
		Present:             present,
		Roster:              roster,
		Health:              n.view.HealthScore(),
		Silent:              n.hasNameConflict,
		UptimeSeconds:       now,
		InBytes:             n.receivedTotal.bytes,
		InDatagrams:         n.receivedTotal.datagrams,
		OutBytes:            n.sentTotal.bytes,
		OutDatagrams:        n.sentTotal.datagrams,
		SendsDropped:        n.sendsDropped,
		DetectionP50Seconds: n.detectionSeconds(50),
		DetectionP99Seconds: n.detectionSeconds(99),
		Detections:          n.detectionTimes.TotalCount(),
		Members:             n.memberReports(now),
		Doubts:              n.endpointDoubts(now),
	}
}

func (n *Node) detectionSeconds(percentile float64) float64 {
	return float64(n.detectionTimes.ValueAtQuantile(percentile)) / 1000
}

// memberReports returns the reports on all members, sorted by name.
func (n *Node) memberReports(now float64) []MemberReport {
	list := []MemberReport{}
	for _, info := range n.view.Snapshot(now) {
		list = append(list, n.memberReport(now, info))
	}
	slices.SortFunc(list, func(a, b MemberReport) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (n *Node) memberReport(now float64, info swim.MemberInfo) MemberReport {
	r := MemberReport{
		Name:                 n.codec.Name(info.Member),
		State:                info.State.String(),
		SinceSeconds:         now - info.Since,
		StartMillis:          info.Incarnation.StartMillis,
		Refutations:          info.Incarnation.Refutations,
		Accusers:             []string{},
		FailedProbes:         info.FailedProbes,
		RefutedAccusations:   info.RefutedAccusations,
		ConfirmedAccusations: info.ConfirmedAccusations,
		Silenced:             info.Silenced,
		ViewDiffers:          info.ViewDiffers,
	}
	r.ConfirmedObservations, r.RefutedObservations, r.Trusted = n.observations.Reputation(info.Member)
	for _, accuser := range info.Accusers {
		r.Accusers = append(r.Accusers, n.codec.Name(accuser))
	}
	if info.Member == n.self {
		r.Address, r.Zone = n.Addr(), n.config.Zone
		return r
	}
	if address := n.addressOf(info.Member); address.IsValid() {
		r.Address = address.String()
	}
	_, record := n.view.Lookup(info.Member)
	_, r.Zone = datagram.RecordLocation(record.Signed)
	return r
}

func (n *Node) endpointDoubts(now float64) []EndpointDoubt {
	list := []EndpointDoubt{}
	for _, evidence := range n.observations.Snapshot(now) {
		doubt := EndpointDoubt{Endpoint: string(evidence.Endpoint), Level: evidence.Doubt}
		for i, witness := range evidence.Witnesses {
			doubt.Witnesses = append(doubt.Witnesses, n.codec.Name(witness)+": "+evidence.Healths[i].String())
		}
		list = append(list, doubt)
	}
	return list
}
