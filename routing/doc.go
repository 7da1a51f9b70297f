// Package routing decides what a router in front of caches of two levels does with each request: which endpoint an
// attempt goes to, who fills a miss and whether the copy is stored, when an attempt is cancelled or retried, which
// requests wait and which are answered without a response.
//
// It is a pure state machine. Decide takes one Event with the time and returns the Actions to carry out; the package
// has no I/O, no clock, no goroutine and no lock, and draws its random numbers from a seed. The same seed and events
// give the same actions. A Router belongs to one goroutine.
//
// All decisions, with their constants, are in router.go (what a request gets next), caching.go (store or pass, age of
// copies, for how long objects are remembered), selection.go (target and source), concurrency.go (limits), slowstart.go
// (cold endpoints), outlier.go (lost attempts, ejections), retry.go (further attempts, final answers) and outcome.go
// (who is at fault). The deployment file lists these under policy; docs/decisions.md has a row for each rule. The other
// files hold the events and actions, the settings, and the state: endpoint.go, attempt.go, request.go, object.go,
// cachestate.go, purge.go.
//
// For each request a Router has a wanted state: its attempts and its place in the queue, its final action and when to
// plan it again. Handlers change only what is wanted; reconcile emits the difference to what is under way. The states
// of attempts and requests and their transitions are listed at attemptState and requestState.
//
// The rules named in comments are the deployment's: no request runs twice unless it may (rule 2), draining endpoints
// get nothing (rule 3), cold endpoints are not overloaded (rule 4) and no purged copy is served (rule 5).
//
// Names give units. A name that ends in At, Until or Before is a time, in seconds of the events' clock; one in Seconds
// is a duration, one in Share a part of one, one in KB a size in kilobytes. Limits and loads are numbers of attempts in
// flight. Other names that begin with max or min, or end in Count, are numbers of what they name.
package routing
