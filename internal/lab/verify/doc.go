// Package verify has the verdicts of the laboratory: it compares records of clients, stand-ins and routers' logs with
// the rules, and reports what did not hold.
//
// It starts nothing and reads no counter of the product. Each check has a test that breaks its rule on purpose.
package verify
