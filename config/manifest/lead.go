package manifest

// Lead is a role that must accept each version.
type Lead string

// The two leads that must both sign a version.
const (
	LeadProduct    Lead = "product"
	LeadOperations Lead = "operations"
)

// Leads returns the roles whose signatures a version needs.
func Leads() []Lead { return []Lead{LeadProduct, LeadOperations} }
