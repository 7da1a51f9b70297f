// Package codestyle holds the tests that keep the code in the terms of docs/glossary.md and docs/decisions.md equal to
// the code. It has no code of its own.
package codestyle
