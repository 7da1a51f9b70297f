package report

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLabelsNameKeysAndTheirSuffixes: each key of the JSON report has a printed name in standard terms, which includes
// the variant, the number of routers or peers, the loss and the fill cost from its suffixes.
func TestLabelsNameKeysAndTheirSuffixes(t *testing.T) {
	for key, want := range map[string]string{
		Requests:                              "requests of clients",
		Key(Requests, VariantClosed):          "requests of clients, one address closed",
		"hops_a_txn.hub.trouble.030":          "attempts per request, parent zone lost, during the fault, 30 routers",
		"efficiency.tier.disk5%.alpha0.5":     "efficiency, Cafe, disk 5%, alpha 0.5",
		"efficiency.xlru.disk10%.alpha4":      "efficiency, xLRU, disk 10%, alpha 4",
		"wrong.swim.0020.loss05":              "false failures, published SWIM, 20 peers, 5% loss",
		"pairs_hung_ms.most":                  "alternating phases: p99 with one unresponsive, ms, maximum",
		"completed_share.budget":              "share completed, with retry budget",
		Completed:                             "requests of clients, completed",
		Attempts:                              "attempts that stand-ins recorded in the variants",
		Pairs:                                 "alternations of a healthy and an unresponsive phase",
		"pairs_good_ms.least":                 "alternating phases: p99 with all addresses healthy, ms, minimum",
		"p99_ms.all_good":                     "latency p99, ms, all addresses healthy",
		"a_key_without_label.and_some_suffix": "a key without label, and some suffix",
	} {
		assert.Equal(t, want, CountLabel(key), key)
		assert.Equal(t, want, FigureLabel(key), key)
	}
	assert.Equal(t, "requests of clients, rejected", CountLabel(Rejected))
	assert.Equal(t, "share of requests rejected, traffic burst, 3 routers", FigureLabel("rejected.burst.003"))
}

// TestTextAndHTMLShowLabelsAndJSONKeepsKeys: on-call engineers read text and HTML, programs read JSON. Text and HTML
// show the terms of the glossary; JSON retains the original keys and the original name of the scenario.
func TestTextAndHTMLShowLabelsAndJSONKeepsKeys(t *testing.T) {
	r := New("rumours", 1, "small")
	r.Name = "health-observations"
	r.Counts[Requests] = 3
	r.Figures[Key(FailingCacheAttempts, VariantFaultyGossip)] = 2
	r.Close()
	var text, html, json bytes.Buffer
	r.WriteText(&text)
	require.NoError(t, r.WriteHTML(&html))
	require.NoError(t, r.WriteJSON(&json))
	for _, shown := range []string{text.String(), html.String()} {
		assert.Contains(t, shown, "health-observations")
		assert.Contains(t, shown, "attempts at the failing edge cache, with gossip and faulty routers")
		for _, old := range []string{"rumours", "txns", "bad_hops", "liars"} {
			assert.NotContains(t, shown, old)
		}
	}
	for _, key := range []string{`"scenario": "rumours"`, `"txns": 3`, `"bad_hops.with_liars": 2`} {
		assert.Contains(t, json.String(), key)
	}
	assert.NotContains(t, json.String(), "health-observations")
}
