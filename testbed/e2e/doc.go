// Package e2e contains end-to-end tests with real processes and the OpenAI
// client library. It has no non-test code.
package e2e
