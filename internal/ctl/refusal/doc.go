// Package refusal defines the error for operations that fpctl refuses because a
// rule forbids them.
package refusal
