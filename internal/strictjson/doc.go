// Package strictjson decodes JSON with comments into structs and reports every
// mismatch with its line. It finds mistakes in hand-written files that
// encoding/json hides: that package reports only the first mismatch, accepts
// names in any letter case and silently uses the last of several equal names.
package strictjson
