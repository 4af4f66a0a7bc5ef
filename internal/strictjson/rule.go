package strictjson

// Rule names what a Problem violates.
type Rule string

// The rules.
const (
	RuleSyntax         Rule = "syntax"
	RuleNesting        Rule = "nesting"
	RuleUnknownField   Rule = "unknown-field"
	RuleDuplicateField Rule = "duplicate-field"
	RuleWrongType      Rule = "wrong-type"
)
