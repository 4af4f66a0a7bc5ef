package settings

// Keys holds ed25519 public keys in base64. A lead may have two keys while one
// is being replaced.
type Keys struct {
	Product    []string `json:"product" validate:"required,min=1,dive,base64"`
	Operations []string `json:"operations" validate:"required,min=1,dive,base64"`
}
