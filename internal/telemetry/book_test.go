package telemetry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCountersAddUp(t *testing.T) {
	b := New(&bytes.Buffer{}, "")
	for range 3 {
		b.Taken("page")
	}
	b.Answered("page", "rejected", "memory")
	b.Left("page", "cancelled")
	assert.Equal(t, []int64{3, 1, 1, 1, 1, 1}, []int64{b.Count("taken"), b.Count("answered"), b.Count("left"), b.Count("open"),
		b.Count("answered.page.rejected.memory"), b.Count("left.page.cancelled")})
	b.Most("worst", 5)
	b.Most("worst", 3)
	var out bytes.Buffer
	b.Print(&out)
	assert.Contains(t, out.String(), "counter open 1\n")
	assert.Contains(t, out.String(), "counter worst 5\n")
	assert.Regexp(t, `(?s)answered.*left.*open.*process\.goroutines [1-9].*taken`, out.String(), "in the order of their names")
}
