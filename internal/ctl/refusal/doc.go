// Package refusal holds the error for operations that the rules of publication
// forbid.
package refusal
