// Package sendqueue orders what is to be sent on a connection, so that a small item does not wait behind large ones
// that take seconds to be sent. It has no lock and does no I/O: the connection that owns a queue guards it and writes.
package sendqueue

import (
	"iter"
	"slices"

	"cairnfront/internal/clock"
)

const (
	// MaxSmallBytes is the size of the body up to which an item is sent ahead of larger ones.
	MaxSmallBytes = 16 << 10

	// maxSmallBytesInRow is how much of small bodies may be sent while a larger one waits.
	maxSmallBytesInRow = 64 << 10
)

// Item is something that is to be sent.
type Item interface {
	// BodyBytes returns the size of the item's body.
	BodyBytes() int

	// SendOrder returns the time by which large items are sorted; equal ones stay in the order in which they came.
	SendOrder() clock.Instant
}

// Queue holds items until they are sent. Items with a small body or none come first, in the order in which they were
// pushed. Those with a large body follow by their SendOrder. The zero value is an empty queue.
//
// It guards against an answer that comes too late because it stands behind bodies that take seconds to be sent.
type Queue[T Item] struct {
	small []T
	large []T

	smallBytesInRow int // size of the small bodies that were taken since the last large one
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.small) + len(q.large) }

// HasLarge reports whether an item with a large body waits.
func (q *Queue[T]) HasLarge() bool { return len(q.large) > 0 }

// HasSmall reports whether an item with a small body or none waits.
func (q *Queue[T]) HasSmall() bool { return len(q.small) > 0 }

// All returns an iterator over all items, in no particular order.
func (q *Queue[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, items := range [2][]T{q.small, q.large} {
			for _, item := range items {
				if !yield(item) {
					return
				}
			}
		}
	}
}

// Push adds an item.
func (q *Queue[T]) Push(item T) {
	if item.BodyBytes() <= MaxSmallBytes {
		q.small = append(q.small, item)
		return
	}
	at, _ := slices.BinarySearchFunc(q.large, item, func(queued, added T) int {
		if queued.SendOrder() <= added.SendOrder() { // equal ones stay in order of arrival
			return -1
		}
		return 1
	})
	q.large = slices.Insert(q.large, at, item)
}

// Pop removes the item that is to be sent next. It returns false if there is none.
func (q *Queue[T]) Pop() (item T, ok bool) {
	switch {
	case len(q.large) > 0 && (len(q.small) == 0 || q.smallBytesInRow >= maxSmallBytesInRow):
		item, q.large = takeFirst(q.large)
		q.smallBytesInRow = 0
	case len(q.small) > 0:
		item, q.small = takeFirst(q.small)
		q.smallBytesInRow += item.BodyBytes()
	default:
		return item, false
	}
	return item, true
}

// PopSmall removes the next item with a small body or none. It returns false if there is none.
func (q *Queue[T]) PopSmall() (item T, ok bool) {
	if len(q.small) == 0 {
		return item, false
	}
	item, q.small = takeFirst(q.small)
	return item, true
}

// takeFirst removes the first item, and the slice with the last one.
func takeFirst[T any](items []T) (first T, rest []T) {
	var none T
	first, items[0] = items[0], none
	if len(items) == 1 {
		return first, nil
	}
	return first, items[1:]
}

// RemoveFirst removes the first item that a condition selects. It returns false if there is none.
func (q *Queue[T]) RemoveFirst(condition func(item T) bool) (removed T, ok bool) {
	for _, items := range []*[]T{&q.small, &q.large} {
		if at := slices.IndexFunc(*items, condition); at >= 0 {
			removed = (*items)[at]
			*items = slices.Delete(*items, at, at+1)
			return removed, true
		}
	}
	return removed, false
}

// RemoveAll removes the items that a condition selects.
func (q *Queue[T]) RemoveAll(condition func(item T) bool) (removed []T) {
	for _, items := range []*[]T{&q.small, &q.large} {
		*items = slices.DeleteFunc(*items, func(item T) bool {
			if !condition(item) {
				return false
			}
			removed = append(removed, item)
			return true
		})
	}
	return removed
}

// Drain removes all items.
func (q *Queue[T]) Drain() []T {
	items := slices.Concat(q.small, q.large)
	*q = Queue[T]{}
	return items
}
