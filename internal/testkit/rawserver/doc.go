// Package rawserver serves connections in tests by functions that write raw bytes.
package rawserver
