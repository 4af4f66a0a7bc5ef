package settings

import "github.com/filbertpier/filbertpier/internal/strictjson"

// Rule identifies the rule that a setting violates. Faults of syntax and schema
// have the rules of package strictjson instead of the ones below.
type Rule string

// Rules on the values of settings.
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

// remedies tells operators how to correct a fault, by rule.
var remedies = map[Rule]string{
	Rule(strictjson.RuleSyntax):         "correct the JSON at that line",
	Rule(strictjson.RuleNesting):        "remove the extra brackets",
	Rule(strictjson.RuleUnknownField):   "correct the name, in the letter case of docs/examples, or remove it",
	Rule(strictjson.RuleDuplicateField): "keep one of them",
	Rule(strictjson.RuleWrongType):      "use a value of the expected type; times are integers in milliseconds",
	RuleRequired:                        "add the setting",
	RuleRange:                           "use a value in the range",
	RuleChoice:                          "use one of the values",
	RuleAddress:                         "use IP:PORT with a port from 1 to 65535; names are not resolved",
	RuleURL:                             "use http://IP:PORT; names are not resolved",
	RuleOverlap:                         "use a different address or port for each listener and the upstream",
	RuleUnreachable:                     "use the IP address of the VM, or set it under advertise",
	RuleKey:                             "paste the line that fpctl keygen printed or the content of the .pub file",
	RuleSharedKey:                       "use one key pair per lead",
	RulePresetRegion:                    "use a region of the preset, or remove the preset",
	RuleOther:                           "correct the value",
}
