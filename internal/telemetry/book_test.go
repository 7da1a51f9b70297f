package telemetry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCountersAddUp(t *testing.T) {
	b := New(&bytes.Buffer{}, "")
	for range 3 {
		b.RequestReceived("page")
	}
	b.RequestAnswered("page", "rejected", "memory")
	b.RequestCancelled("page", "cancelled")
	assert.Equal(t, []int64{3, 1, 1, 1, 1, 1}, []int64{b.Value("taken"), b.Value("answered"), b.Value("left"), b.Value("open"),
		b.Value("answered.page.rejected.memory"), b.Value("left.page.cancelled")})
	b.Max("worst", 5)
	b.Max("worst", 3)
	var out bytes.Buffer
	b.Dump(&out)
	assert.Contains(t, out.String(), "counter open 1\n")
	assert.Contains(t, out.String(), "counter worst 5\n")
	assert.Regexp(t, `(?s)answered.*left.*open.*process\.goroutines [1-9].*taken`, out.String(), "in the order of their names")
}
