package settings

import "github.com/filbertpier/filbertpier/internal/strictjson"

// Rule names what a Fault violates. The rules of the package strictjson for
// syntax and schema appear too.
type Rule string

// The rules.
const (
	RuleRequired     Rule = "required"
	RuleRange        Rule = "range"
	RuleChoice       Rule = "choice"
	RuleAddress      Rule = "ip-port"
	RuleURL          Rule = "ip-url"
	RuleOverlap      Rule = "overlapping-listeners"
	RuleUnreachable  Rule = "unspecified-address"
	RuleKey          Rule = "public-key"
	RuleSharedKey    Rule = "shared-key"
	RulePresetRegion Rule = "preset-region"
	RuleOther        Rule = "invalid"
)

// remedies says what to do about a fault, by rule.
var remedies = map[Rule]string{
	Rule(strictjson.RuleSyntax):         "correct the JSON at that line",
	Rule(strictjson.RuleNesting):        "remove the extra brackets",
	Rule(strictjson.RuleUnknownField):   "correct the name, in the letter case of docs/examples, or remove it",
	Rule(strictjson.RuleDuplicateField): "keep one of them",
	Rule(strictjson.RuleWrongType):      "give the plain value; times are whole milliseconds",
	RuleRequired:                        "add the setting",
	RuleRange:                           "give a value in the range",
	RuleChoice:                          "use one of the values",
	RuleAddress:                         "give IP:PORT with a port from 1 to 65535; names are not resolved",
	RuleURL:                             "give http://IP:PORT; names are not resolved",
	RuleOverlap:                         "give each listener and the upstream an address or a port of its own",
	RuleUnreachable:                     "name the IP address of the VM, or set it under advertise",
	RuleKey:                             "paste the line that fpctl keygen printed or the content of the .pub file",
	RuleSharedKey:                       "use one key pair per lead",
	RulePresetRegion:                    "use a region of the preset, or remove the preset",
	RuleOther:                           "correct the value",
}
