// Package snapshot holds versions of the configuration as immutable, fully
// checked values and the store that swaps them whole and forward only.
package snapshot
