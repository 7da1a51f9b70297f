// Package verify checks the outcome of laboratory runs: it compares the records of clients and stand-ins and the
// routers' logs with the rules, and reports violations.
//
// It starts no processes and reads no counters of the product. Each check has a test that violates its rule on purpose.
package verify
