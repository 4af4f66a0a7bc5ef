// Package ctl and its subpackages implement the commands of fpctl on
// configuration documents: loading section files, and checking, comparing,
// signing and preparing versions for publication. The command fpctl only parses
// arguments and prints what these packages return.
//
// Every result can be encoded as JSON and has a Text method. Private keys appear
// in no result, error or formatted output.
package ctl
