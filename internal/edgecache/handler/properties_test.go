package handler

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"

	"pgregory.net/rapid"
)

// In any order of events each request has exactly one response unless it was cancelled, no invalidated copy is served,
// memory and fills stay bounded, and no state is left behind.
func TestHandlerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, w := newHandler()
		clock, open, left, done := now, map[uint64]eviction.Key{}, map[uint64]bool{}, map[uint64]bool{}
		var fetches []Fetch
		var reads []eviction.Key
		take := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Respond:
					if _, ok := open[a.Request]; !ok || done[a.Request] || left[a.Request] {
						t.Fatalf("request %d has a second response, or was not made", a.Request)
					}
					done[a.Request] = true
					if a.Copy != nil && w.Evaluate(a.Copy.validityCopy()) == validity.Invalidated {
						t.Fatalf("an invalidated copy is served")
					}
				case Fetch:
					fetches = append(fetches, a)
				case ReadDisk:
					reads = append(reads, a.Key)
				}
			}
			if d.Bytes() > 10000 || d.Fills() > 4 {
				t.Fatalf("%d bytes, %d fills", d.Bytes(), d.Fills())
			}
		}
		for id := range uint64(rapid.IntRange(5, 120).Draw(t, "n")) {
			clock += rapid.Float64Range(0, 0.4).Draw(t, "dt")
			k := eviction.Key{Object: uint64(rapid.IntRange(0, 3).Draw(t, "o"))}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				if len(fetches) > 0 {
					f := fetches[0]
					fetches = fetches[1:]
					e := FetchResult{
						Result:      routing.AttemptResult(rapid.IntRange(0, 8).Draw(t, "code")),
						ETag:        "x",
						IssuedAt:    int64((clock - rapid.Float64Range(0, 20).Draw(t, "age")) * 1000),
						Body:        make([]byte, rapid.IntRange(0, 4000).Draw(t, "size")),
						NotModified: rapid.Bool().Draw(t, "same"),
					}
					take(d.HandleFetched(clock, f.Fill, e))
				}
			case 1:
				if len(reads) > 0 {
					var c *Copy
					if rapid.Bool().Draw(t, "found") {
						c = &Copy{
							Key:      reads[0],
							ETag:     "y",
							Rank:     2,
							IssuedAt: int64((clock - 30) * 1000),
							Seq:      3,
							Body:     make([]byte, 1000),
						}
					}
					take(d.HandleDiskRead(clock, reads[0], c))
					reads = reads[1:]
				}
			case 2:
				w.void[k.Object] = int64((clock - 1) * 1000)
				w.disk[k] = rapid.Bool().Draw(t, "disk")
			case 3:
				for x := range open {
					if !done[x] {
						left[x] = true
						take(d.HandleCancel(clock, x, open[x]))
						break
					}
				}
			default:
				x := Request{
					ID:            id + 1,
					Key:           k,
					Class:         rapid.SampledFrom([]Class{video, page, order}).Draw(t, "class"),
					Deadline:      clock + 5,
					Source:        rapid.SampledFrom([]string{"", "s-1"}).Draw(t, "source"),
					Rank:          rapid.IntRange(0, 3).Draw(t, "rank"),
					MaxAgeSeconds: rapid.SampledFrom([]float64{0, 0.5, 30}).Draw(t, "most"),
					JoinFill:      rapid.Bool().Draw(t, "join"),
					Revalidate:    true,
				}
				open[x.ID] = k
				take(d.HandleRequest(clock, x))
			}
		}
		for len(reads) > 0 {
			k := reads[0]
			reads = reads[1:]
			take(d.HandleDiskRead(clock, k, nil))
		}
		for range 3 {
			clock += 10
			take(d.HandleTick(clock))
		}
		for id := range open {
			if !done[id] && !left[id] {
				t.Fatalf("request %d has no response", id)
			}
		}
		if len(d.fills)+len(d.fillByKey)+len(d.fillByRequest)+len(d.diskReads) > 0 {
			t.Fatalf(
				"left behind: %d fills, %d by key, %d by request, %d reads",
				len(d.fills),
				len(d.fillByKey),
				len(d.fillByRequest),
				len(d.diskReads),
			)
		}
	})
}
