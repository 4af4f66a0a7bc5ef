// Package strictjson decodes JSON with comments into structs and reports every
// mismatch with its line. The standard decoder stops at the first mismatch,
// accepts names in any letter case and lets the last of several equal names win
// silently, which hides mistakes in files that people write.
package strictjson
