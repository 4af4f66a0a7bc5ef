package strictjson

// Rule names what a Problem violates.
type Rule string

// The rules.
const (
	RuleSyntax    Rule = "syntax"
	RuleNesting   Rule = "nesting"
	RuleUnknown   Rule = "unknown-field"
	RuleDuplicate Rule = "duplicate-field"
	RuleType      Rule = "wrong-type"
)
