// Package routing decides what a router of a two-tier cache does with each request: which endpoint an attempt goes
// to, who fills a miss there and whether the copy is kept, when an attempt is cancelled or retried, which requests
// wait and which are answered without a response.
//
// It is a pure state machine. Decide takes one Event with the time and returns the Actions to carry out; the package
// has no I/O, no clock, no goroutine and no lock, and draws its random numbers from a seed. The same seed and events
// give the same actions. A Router belongs to one goroutine.
//
// All decisions and their constants are in router.go, caching.go, selection.go, concurrency.go, slowstart.go,
// outlier.go, retry.go and outcome.go, which the deployment file lists under policy. The other files hold the events
// and actions, the settings and the mechanics of the state.
//
// For each request a Router keeps a wanted state: the attempts that should be in flight, whether the request is
// queued, its final action and when to look at it again. Handlers change only what is wanted; reconcile emits the
// difference to what is under way.
//
// The rules named in comments are the deployment's: no request runs twice unless it may (rule 2), cold endpoints are
// not overloaded (rule 4) and no purged copy is served (rule 5).
package routing
