// Package codestyle has tests that check that the code uses the terms of docs/glossary.md, and that docs/decisions.md
// and the operators' documentation match the code. It has no code apart from tests.
package codestyle
