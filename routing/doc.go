// Package routing implements the routing decisions of a traffic router in front of a two-level cache: which endpoint
// serves an attempt, which source fills a cache miss and whether the copy is stored, when an attempt is cancelled or
// retried, which requests are queued, and which are rejected or aborted without a response.
//
// The package is a pure state machine. Decide takes one Event with its time and returns the Actions to carry out. There
// is no I/O, clock, goroutine or lock in the package, and random numbers come from a seeded generator, so the same seed
// and events give the same actions. A Router is not safe for concurrent use.
//
// The decisions and their constants are in router.go (next step of a request), caching.go (store or pass through,
// maximum age of copies, expiry of idle objects), selection.go (target and source), concurrency.go (concurrency
// limits), slowstart.go (endpoints in slow start), sendtime.go (sending times and latency objectives), outlier.go (lost
// attempts, outlier ejection), retry.go (retries, final actions) and outcome.go (attribution of failures). The
// deployment file deploy/balancer.toml lists these under the key policy; docs/decisions.md has a row for each rule. The
// other files hold the events and actions, the settings, and the state with the constants that concern only it:
// endpoint.go, endpoints.go, attempt.go, request.go, object.go, hashorder.go, cachestate.go, purge.go.
//
// A Router holds the desired state of each request: its attempts, its place in the queue, its final action, and the
// time of its next planning. Event handlers update the state but emit no actions for requests; reconcile emits the
// difference between the desired and the current state. The only action emitted elsewhere, SubscribeEndpoints, belongs
// to no request. The states of attempts and requests and their transitions are listed at attemptState and requestState.
//
// The numbered rules in comments are those of the deployment. This package refers to rules 2 to 5: a request runs at
// most once unless its class allows more (rule 2), draining endpoints receive no attempts (rule 3), endpoints in slow
// start are not overloaded (rule 4), and purged copies are not served (rule 5).
//
// Most names state their units. A name that ends in At, Until or Before is a time, in seconds of the events' clock; one
// in Seconds is a duration, one in Share a fraction of 1, one in KB a size in kilobytes. Limits and loads are numbers
// of attempts in flight. Most other names that begin with max or min, or end in Count, are numbers of the items that
// they name. The units of the remaining names, such as Deadline, horizon or priorityPerKB, follow from their comments.
package routing
