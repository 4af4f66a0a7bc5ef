// Package compare tells how two versions of a document differ.
package compare
