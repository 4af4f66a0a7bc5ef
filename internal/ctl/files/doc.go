// Package files reads and writes the files of fpctl, bounded and whole.
package files
