package sendqueue

import (
	"testing"

	"cairnfront/internal/clock"

	"github.com/stretchr/testify/assert"
)

// testItem is an item with a number.
type testItem struct {
	number, bodyBytes int
	order             clock.Instant
}

func (i testItem) BodyBytes() int           { return i.bodyBytes }
func (i testItem) SendOrder() clock.Instant { return i.order }

func popNumbers(q *Queue[testItem]) (numbers []int) {
	for item, ok := q.Pop(); ok; item, ok = q.Pop() {
		numbers = append(numbers, item.number)
	}
	return numbers
}

// Guards against a small answer that is late because large bodies stand before it.
func TestSmallItemsComeFirstAndLargeOnesInTheirOrder(t *testing.T) {
	q := &Queue[testItem]{}
	for _, item := range []testItem{
		{1, 200_000, 5}, {2, 100_000, 3}, {3, 0, 9}, {4, 200_000, 5}, {5, MaxSmallBytes, 2}, {6, MaxSmallBytes + 1, 10},
	} {
		q.Push(item)
	}
	assert.Equal(t, []int{3, 5, 2, 1, 4, 6}, popNumbers(q))
	assert.Zero(t, q.Len())
	_, ok := q.Pop()
	assert.False(t, ok)
}

// Guards against a large answer that never comes because small ones are always there.
func TestSmallItemsDoNotStarveLargeOnes(t *testing.T) {
	q := &Queue[testItem]{}
	q.Push(testItem{99, 100_000, 0})
	for number := range 2 * maxSmallBytesInRow / MaxSmallBytes {
		q.Push(testItem{number, MaxSmallBytes, 0})
	}
	assert.Equal(t, []int{0, 1, 2, 3, 99, 4, 5, 6, 7}, popNumbers(q))
}

func TestItemsAreRemovedByCondition(t *testing.T) {
	q := &Queue[testItem]{}
	for number, size := range []int{0, 200_000, 10, 200_000} {
		q.Push(testItem{number: number, bodyBytes: size})
	}
	assert.True(t, q.HasLarge())
	removed, ok := q.RemoveFirst(func(item testItem) bool { return item.number == 2 })
	assert.True(t, ok)
	assert.Equal(t, 2, removed.number)
	_, ok = q.RemoveFirst(func(item testItem) bool { return item.number == 2 })
	assert.False(t, ok)
	_, ok = q.PopSmall()
	assert.True(t, ok)
	_, ok = q.PopSmall()
	assert.False(t, ok, "only large ones are left")
	q.Push(testItem{number: 0})
	large := q.RemoveAll(func(item testItem) bool { return item.bodyBytes > MaxSmallBytes && item.number != 1 })
	assert.Len(t, large, 1)
	assert.Equal(t, []testItem{{number: 0}, {number: 1, bodyBytes: 200_000}}, q.Drain())
	assert.Zero(t, q.Len())
}
