// Package fleet queries the administration API of many nodes and sets their log
// level. It changes nothing else.
package fleet
