// Package compare computes the differences between two versions of a document.
package compare
