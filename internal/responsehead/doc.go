// Package responsehead finds heads of responses that are not valid in HTTP/1.1 although
// net/http parses them. It makes no decisions about calls.
package responsehead
