package fleet

import (
	"encoding/base64"
	"encoding/json"

	"github.com/filbertpier/filbertpier/internal/settings"
)

// nodeSettings returns the settings of the node on a VM as JSON.
func (f *Fleet) nodeSettings(v VM) ([]byte, error) {
	s := settings.Node{
		VM: v.ID, Zone: v.Zone, Region: v.Region, Service: v.Service,
		Listen:   settings.Listen{Calls: v.addr(callPort), Peers: v.addr(peerPort), Admin: v.addr(adminPort)},
		Upstream: v.addr(upstreamPort),
		Platform: settings.Platform{URL: f.PlatformURL(), Region: f.spec.PlatformRegion},
		Keys: settings.Keys{
			Product:    []string{base64.StdEncoding.EncodeToString(f.publisher.Product)},
			Operations: []string{base64.StdEncoding.EncodeToString(f.publisher.Operations)},
		},
		JoinTimeoutMs: f.spec.JoinTimeout.Milliseconds(),
		MemoryBytes:   f.spec.NodeMemoryBytes, MaxDescriptors: f.spec.NodeMaxDescriptors,
		Log: settings.Log{Level: f.spec.LogLevel, DecisionsEvery: f.spec.DecisionsEvery},
	}
	if f.usesLink() {
		s.Advertise = settings.Advertise{Calls: v.linkAddr(callPort), Peers: v.linkAddr(peerPort)}
	}
	for _, seed := range f.VMs[:min(len(f.VMs), seedCount)] {
		s.Seeds = append(s.Seeds, f.peerAddr(seed))
	}
	return json.Marshal(s)
}
