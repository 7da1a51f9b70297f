// Package ciscripts tests the scripts in .ci. It has no code apart from tests.
package ciscripts
