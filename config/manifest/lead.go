package manifest

// Lead is a role whose holder must sign each version.
type Lead string

// The roles that must sign a version.
const (
	LeadProduct    Lead = "product"
	LeadOperations Lead = "operations"
)

// Leads returns the roles that must all sign a version.
func Leads() []Lead { return []Lead{LeadProduct, LeadOperations} }
