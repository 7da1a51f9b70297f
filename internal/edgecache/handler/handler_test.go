package handler

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeEnvironment is an Environment that returns the verdicts set by a test.
type fakeEnvironment struct {
	verdict  map[uint64]validity.Verdict
	purgedAt map[uint64]int64
	disk     map[eviction.Key]bool
	epoch    uint16
}

func (e *fakeEnvironment) Evaluate(c validity.Copy) validity.Verdict {
	if at, ok := e.purgedAt[c.Object]; ok && c.IssuedAt <= at {
		return validity.Invalidated
	}
	if e.verdict[c.Object] == validity.Unconfirmed && c.ConfirmedEpoch == e.epoch {
		return validity.Valid
	}
	return e.verdict[c.Object]
}

func (e *fakeEnvironment) Epoch() uint16 { return e.epoch }

func (e *fakeEnvironment) OnDisk(k eviction.Key) bool { return e.disk[k] }

const now = 1000.0

var (
	key   = eviction.Key{Object: 7, Chunk: 1}
	video = Class{Cacheable: true}
	page  = Class{Cacheable: true, FreshSeconds: 10, StaleSeconds: 10}
	order = Class{}
)

func newHandler() (*Handler, *fakeEnvironment) {
	env := &fakeEnvironment{
		verdict:  map[uint64]validity.Verdict{},
		purgedAt: map[uint64]int64{},
		disk:     map[eviction.Key]bool{},
	}
	return New(env, Limits{MemoryBytes: 10000, MaxFills: 4, FillTimeoutSeconds: 3}), env
}

func newRequest(id uint64, r Class) Request {
	return Request{ID: id, Key: key, Class: r, Deadline: now + 5, Source: "s-1", Rank: 2, JoinFill: true}
}

func fetchedCopy(age float64) FetchResult {
	return FetchResult{
		Result:   routing.Completed,
		ETag:     "v",
		IssuedAt: int64((now - age) * 1000),
		Group:    3,
		Body:     make([]byte, 500),
	}
}

// cacheCopy puts a copy with the given age in seconds into the memory cache.
func cacheCopy(handler *Handler, age float64) {
	handler.beginEvent(now)
	result := fetchedCopy(age)
	handler.memory.put(&Copy{
		Key:      key,
		ETag:     result.ETag,
		IssuedAt: result.IssuedAt,
		Rank:     2,
		Seq:      5,
		Body:     result.Body,
	})
}

func responseCodes(actions []Action) []routing.AttemptResult {
	var codes []routing.AttemptResult
	for _, action := range actions {
		if response, ok := action.(Respond); ok {
			codes = append(codes, response.Result)
		}
	}
	return codes
}

// actionAt returns the action at an index of a list and fails the test unless it has the type T.
func actionAt[T Action](t *testing.T, actions []Action, i int) T {
	t.Helper()
	require.Greater(t, len(actions), i)
	action, ok := actions[i].(T)
	require.True(t, ok, "%T", actions[i])
	return action
}

// TestMissIsFetchedOnceForAllWaiting sends several requests that miss the same chunk. One fetch per request would put
// the highest load on a source when it is slow. Requests that may join must wait for the first fetch, a request that
// may not join must start its own fetch, and later requests must hit.
func TestMissIsFetchedOnceForAllWaiting(t *testing.T) {
	handler, _ := newHandler()
	actions := handler.HandleRequest(now, newRequest(1, video))
	assert.Len(t, actions, 1)
	fetch := actionAt[Fetch](t, actions, 0)
	assert.Equal(t, "s-1", fetch.Source)
	assert.Empty(t, handler.HandleRequest(now, newRequest(2, video)))
	withoutJoin := newRequest(3, video)
	withoutJoin.JoinFill = false
	assert.Len(t, handler.HandleRequest(now, withoutJoin), 1, "a request that may not join has its own fetch")
	actions = append([]Action{}, handler.HandleFetched(now+0.1, fetch.Fill, fetchedCopy(0))...)
	assert.IsType(t, WriteDisk{}, actions[0])
	assert.Equal(t, routing.Filled, actionAt[Respond](t, actions, 1).Detail)
	assert.Equal(t, routing.JoinedFill, actionAt[Respond](t, actions, 2).Detail)
	hit := handler.HandleRequest(now+0.2, newRequest(4, video))
	assert.Equal(t, routing.CacheHit, actionAt[Respond](t, hit, 1).Detail)
}

// TestMissWithoutSource sends a request that misses and names no source. The cache must report a miss: if caches chose
// sources themselves, fetches could loop between them.
func TestMissWithoutSource(t *testing.T) {
	handler, _ := newHandler()
	request := newRequest(1, video)
	request.Source = ""
	assert.Equal(t, []routing.AttemptResult{routing.CacheMiss}, responseCodes(handler.HandleRequest(now, request)))
}

// TestDiskIsReadOnceAndMissIsFetched sends two requests for a chunk on the disk. One read per request would overload
// the disk, so both must wait for the same read. A read that finds no copy must lead to a fetch.
func TestDiskIsReadOnceAndMissIsFetched(t *testing.T) {
	handler, env := newHandler()
	env.disk[key] = true
	assert.Equal(t, []Action{ReadDisk{key}}, handler.HandleRequest(now, newRequest(1, video)))
	assert.Empty(t, handler.HandleRequest(now, newRequest(2, video)))
	result := fetchedCopy(50)
	stored := &Copy{Key: key, ETag: "v", IssuedAt: result.IssuedAt, Rank: 2, Seq: 4, Body: result.Body}
	actions := handler.HandleDiskRead(now, key, stored)
	assert.Equal(t, []routing.AttemptResult{routing.Completed, routing.Completed}, responseCodes(actions))
	handler, env = newHandler()
	env.disk[key] = true
	handler.HandleRequest(now, newRequest(1, video))
	assert.IsType(t, Fetch{}, handler.HandleDiskRead(now, key, nil)[0])
}

// TestUnconfirmedCopyIsServedAfterConfirmation requests a copy that may be older than a missed purge. Serving it
// directly could serve purged content, and fetching it again without an ETag would cost a transfer. The source must
// confirm or replace the copy before it is served; without a source the request must be a miss.
func TestUnconfirmedCopyIsServedAfterConfirmation(t *testing.T) {
	for _, notModified := range []bool{true, false} {
		handler, env := newHandler()
		env.verdict[7], env.epoch = validity.Unconfirmed, 9
		cacheCopy(handler, 50)
		fetch := actionAt[Fetch](t, handler.HandleRequest(now, newRequest(1, video)), 0)
		assert.Equal(t, "v", fetch.ETag)
		result := fetchedCopy(1)
		if result.NotModified = notModified; notModified {
			result.Body, result.ETag = nil, ""
		}
		actions := handler.HandleFetched(now+0.1, fetch.Fill, result)
		assert.Equal(t, []routing.AttemptResult{routing.Completed}, responseCodes(actions))
		if notModified {
			assert.Contains(t, actions, ConfirmOnDisk{key, 5, 9})
		}
		assert.Equal(
			t,
			[]routing.AttemptResult{routing.Completed},
			responseCodes(handler.HandleRequest(now+0.2, newRequest(2, video))),
			"the copy is valid after its confirmation",
		)
	}
	handler, env := newHandler()
	env.verdict[7], env.epoch = validity.Unconfirmed, 9
	cacheCopy(handler, 50)
	request := newRequest(1, video)
	request.Source = ""
	assert.Equal(
		t,
		[]routing.AttemptResult{routing.CacheMiss},
		responseCodes(handler.HandleRequest(now, request)),
		"no source to confirm it",
	)
}

// TestInvalidatedCopyIsNeverServed purges a cached copy and has the source deliver a copy that is also older than the
// purge. Serving either would serve content that was withdrawn. The handler must repeat the fetch once and then fail
// the request.
func TestInvalidatedCopyIsNeverServed(t *testing.T) {
	handler, env := newHandler()
	cacheCopy(handler, 50)
	env.purgedAt[7] = int64((now - 20) * 1000)
	actions := handler.HandleRequest(now, newRequest(1, video))
	assert.Contains(t, actions, DeleteFromDisk{key})
	fetch := actionAt[Fetch](t, actions, 1)
	assert.Empty(t, fetch.ETag)
	// The source's copy is also older than the purge: the fetch is repeated once, then the request fails.
	actions = append([]Action{}, handler.HandleFetched(now+0.1, fetch.Fill, fetchedCopy(30))...)
	assert.Empty(t, responseCodes(actions))
	repeatedFetch := actionAt[Fetch](t, actions, 1)
	assert.Equal(
		t,
		[]routing.AttemptResult{routing.ServerError},
		responseCodes(handler.HandleFetched(now+0.2, repeatedFetch.Fill, fetchedCopy(30))),
	)
	assert.Empty(t, handler.memory.entries)
}

// TestMaxAgeLimitsCopies requests copies of several ages with different age limits. A copy that is too old for the
// request must be fetched, a stale one may be served and revalidated, and without a source the request must be a miss.
func TestMaxAgeLimitsCopies(t *testing.T) {
	for _, test := range []struct {
		class                 Class
		age, maxAge           float64
		revalidate, hasSource bool
		want                  string
	}{
		{video, 1e6, 0, false, true, "hit"},
		{video, 40, 30, false, true, "fetch"},
		{video, 20, 30, false, true, "hit"},
		{page, 5, 0, false, true, "hit"},
		{page, 12, 0, false, true, "fetch"},
		{page, 12, 20, false, true, "stale"},
		{page, 12, 20, true, true, "stale+fetch"},
		{page, 21, 20, true, true, "fetch"},
		{page, 12, 0, false, false, "miss"},
	} {
		handler, _ := newHandler()
		cacheCopy(handler, test.age)
		request := newRequest(1, test.class)
		if request.MaxAgeSeconds, request.Revalidate = test.maxAge, test.revalidate; !test.hasSource {
			request.Source = ""
		}
		got := ""
		for _, a := range handler.HandleRequest(now, request) {
			switch a := a.(type) {
			case Respond:
				got = map[routing.ResultDetail]string{
					routing.CacheHit: "hit",
					routing.StaleHit: "stale",
					routing.NoDetail: "miss",
				}[a.Detail]
			case Fetch:
				if got != "" {
					got += "+"
				}
				got += "fetch"
			}
		}
		assert.Equal(t, test.want, got, "%+v", test)
	}
}

// TestPassThroughResultIsReported checks the result codes of requests that are not cacheable. A response must report
// that the request was not executed only if that is certain.
func TestPassThroughResultIsReported(t *testing.T) {
	for fetchResult, wantResult := range map[routing.AttemptResult]routing.AttemptResult{
		routing.Overloaded:       routing.Overloaded,
		routing.ConnectFailed:    routing.Overloaded,
		routing.NotSent:          routing.Overloaded,
		routing.CacheMiss:        routing.CacheMiss,
		routing.ConnectionBroken: routing.ServerError,
		routing.TimedOut:         routing.ServerError,
		routing.ServerError:      routing.ServerError,
		routing.Cancelled:        routing.ServerError,
	} {
		handler, _ := newHandler()
		fetch := actionAt[Fetch](t, handler.HandleRequest(now, newRequest(1, order)), 0)
		assert.Equal(t, uint64(1), fetch.Request)
		assert.False(t, fetch.JoinFill)
		assert.Equal(
			t,
			[]routing.AttemptResult{wantResult},
			responseCodes(handler.HandleFetched(now, fetch.Fill, FetchResult{Result: fetchResult})),
		)
	}
}

// TestCancelStopsPassThroughAndKeepsFill cancels a pass-through request and a request that has started a fill. The
// pass-through fetch serves no other request and must be cancelled; the fill serves later requests and must be stored.
func TestCancelStopsPassThroughAndKeepsFill(t *testing.T) {
	handler, _ := newHandler()
	fetch := actionAt[Fetch](t, handler.HandleRequest(now, newRequest(1, order)), 0)
	assert.Equal(t, []Action{CancelFetch{fetch.Fill}}, handler.HandleCancel(now, 1, key))
	fetch = actionAt[Fetch](t, handler.HandleRequest(now, newRequest(2, video)), 0)
	assert.Empty(t, handler.HandleCancel(now, 2, key))
	assert.IsType(t, WriteDisk{}, handler.HandleFetched(now+1, fetch.Fill, fetchedCopy(0))[0])
}

// TestFillsAreBoundedAndTimeOut starts more fetches than allowed from a source that does not respond. Without a limit,
// the requests waiting for it would use up all memory. The request above the limit must be rejected, and all others
// must fail at the fill timeout.
func TestFillsAreBoundedAndTimeOut(t *testing.T) {
	handler, _ := newHandler()
	for i := range uint64(5) {
		request := newRequest(i+1, video)
		request.Key.Chunk = uint32(i)
		actions := handler.HandleRequest(now, request)
		if i == 4 {
			assert.Equal(t, []routing.AttemptResult{routing.Overloaded}, responseCodes(actions))
		}
	}
	assert.Empty(t, handler.HandleTick(now+2.9))
	assert.Equal(
		t,
		[]routing.AttemptResult{routing.ServerError, routing.ServerError, routing.ServerError, routing.ServerError},
		responseCodes(handler.HandleTick(now+3)),
	)
	assert.Zero(t, handler.Fills())
}

// TestLowRanksAreEvictedFirst fills the memory with copies of several ranks. If a copy of low rank evicted one of high
// rank, the router's ranking would have no effect. The lowest rank must be evicted first, and within it the least
// recently used copy.
func TestLowRanksAreEvictedFirst(t *testing.T) {
	handler, _ := newHandler()
	put := func(o uint64, rank int) {
		handler.memory.put(&Copy{Key: eviction.Key{Object: o}, Rank: rank, Body: make([]byte, 3000-copyOverheadBytes)})
	}
	put(1, 3)
	put(2, 1)
	put(3, 2)
	put(4, 2)
	assert.Nil(t, handler.memory.entries[eviction.Key{Object: 2}])
	put(5, 1)
	assert.Nil(t, handler.memory.entries[eviction.Key{Object: 5}])
	put(6, 3)
	assert.Nil(t, handler.memory.entries[eviction.Key{Object: 3}], "the least recently used copy is evicted")
	assert.NotNil(t, handler.memory.entries[eviction.Key{Object: 1}])
}

// TestCopyUseByVerdictAndAge checks the precedence of the rules: first whether a purge invalidated the copy, then
// whether the copy is unconfirmed or too old, then whether it is fresh.
func TestCopyUseByVerdictAndAge(t *testing.T) {
	const maxAge, fresh = 20.0, 10.0
	for _, test := range []struct {
		verdict validity.Verdict
		age     float64
		fresh   float64
		want    copyUse
	}{
		{validity.Valid, 10, fresh, serveFresh},
		{validity.Valid, 10.1, fresh, serveStale},
		{validity.Valid, 20, 0, serveFresh},
		{validity.Valid, 20.1, fresh, revalidateCopy},
		{validity.Valid, 20.1, 0, revalidateCopy},
		{validity.Unconfirmed, 1, fresh, revalidateCopy},
		{validity.Invalidated, 1, fresh, discardCopy},
		{validity.Invalidated, 30, fresh, discardCopy},
	} {
		got := decideCopyUse(test.verdict, test.age, maxAge, test.fresh)
		assert.Equal(t, test.want, got, "%s at the age of %g s, fresh for %g s", test.verdict, test.age, test.fresh)
	}
}
