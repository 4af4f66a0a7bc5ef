package settings

import (
	"errors"
	"time"

	"github.com/go-playground/validator/v10"
)

// Sidecar is the settings of a node that runs as a sidecar, with its callers on
// the same VM. It is read-only after Validate.
type Sidecar struct {
	// VM is the id of the VM.
	VM     string `json:"vm" validate:"required,max=256"`
	Zone   string `json:"zone" validate:"required,max=128"`
	Region string `json:"region" validate:"required,max=128"`
	// Service is the service of the upstream on the VM.
	Service string `json:"service" validate:"required,max=128"`
	// Upstream is the address of the upstream on the VM.
	Upstream string `json:"upstream" validate:"required,ip_port"`
	// LocalIP is the address that the node connects from.
	LocalIP string        `json:"localIP" validate:"required,ip"`
	Listen  SidecarListen `json:"listen"`
	// Seeds are control addresses of other nodes to join through; some may be
	// out of date.
	Seeds []string `json:"seeds" validate:"dive,ip_port"`
	// Regions maps a zone to its region.
	Regions map[string]string `json:"regions"`
	// Store is the address of the platform's store.
	Store string `json:"store" validate:"required,ip_port"`
	// StoreReadsPerSecond is the store's limit on the reads of all nodes
	// together. The node does not use it.
	StoreReadsPerSecond float64 `json:"storeReadsPerSecond" validate:"min=0"`
	// RetryRatio limits the retries of all nodes to a fraction of the calls to a
	// service.
	RetryRatio float64 `json:"retryRatio" validate:"min=0,max=1"`
	// StopGracePeriod is how long a stopping node may take before it is killed.
	StopGracePeriod time.Duration `json:"stopTime" validate:"min=1000000000"`
	// LinkBytesPerSecond is the bandwidth of the VM's link; zero if unknown.
	LinkBytesPerSecond int `json:"linkBytesPerSecond" validate:"min=0"`
	// MemoryBytes is the node's memory limit; 0 means 256 MiB.
	MemoryBytes int64 `json:"memoryBytes" validate:"min=0"`
	// MaxDescriptors is the node's limit of file descriptors; 0 means 4,096.
	MaxDescriptors int `json:"maxDescriptors" validate:"min=0"`
}

// Validate returns an *InvalidError with all faults, or nil. The faults have no
// line numbers, because the settings may come from another format than JSON.
func (s *Sidecar) Validate() error {
	var invalid validator.ValidationErrors
	if !errors.As(newValidator().Struct(s), &invalid) {
		return nil
	}
	out := &InvalidError{}
	for _, e := range invalid {
		out.Faults = append(out.Faults, Fault{Field: jsonPointer(e.Namespace()), Rule: RuleOther, Detail: "violates " + e.Tag() + " " + e.Param()})
	}
	return out
}
