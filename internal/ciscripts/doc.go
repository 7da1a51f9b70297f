// Package ciscripts holds the tests of the scripts in .ci. It has no code of its own.
package ciscripts
