// Package ctl holds the operators' work on documents: loading section files,
// checking, comparing, accepting and preparing versions for publication. The
// command fpctl only parses arguments and prints what this package returns.
//
// Every result is a value with a JSON form and a Text method. Private keys
// appear in no result, error or format.
package ctl
