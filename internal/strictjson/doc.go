// Package strictjson decodes JSON with comments into structs and reports every
// mismatch with its line. The standard decoder stops at the first mismatch,
// accepts names in any letter case and silently lets a repeated member win,
// which hides mistakes in text that people write.
package strictjson
