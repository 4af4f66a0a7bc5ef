package strictjson

// Rule is the rule that a Problem violates.
type Rule string

// The rules that Decode checks; Parse checks only RuleSyntax and RuleNesting.
const (
	RuleSyntax         Rule = "syntax"
	RuleNesting        Rule = "nesting"
	RuleUnknownField   Rule = "unknown-field"
	RuleDuplicateField Rule = "duplicate-field"
	RuleWrongType      Rule = "wrong-type"
)
