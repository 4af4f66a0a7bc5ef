package settings

import "slices"

// Preset holds what all nodes of one deployment share. Settings override it.
type Preset struct {
	// Regions are the deployment's regions; the first hosts the platform.
	Regions []string
	// DrainMs is the default of Node.DrainMs.
	DrainMs int64
}

// presets are the two deployments.
var presets = map[string]Preset{
	// A certificate bundle may take 10 s, and a server runs 6 calls at once out
	// of about 110 connections, so a stop may have to wait for queued bundles.
	"nadroka": {Regions: []string{"viti-levu", "vanua-levu", "lau-east"}, DrainMs: 30_000},
	// Scripts are the longest calls, with a timeout of 5 s in the example
	// document; the drain leaves room for one queued behind another.
	"formosa-heralds": {Regions: []string{"north", "central", "south"}, DrainMs: 15_000},
}

func (p Preset) has(region string) bool { return slices.Contains(p.Regions, region) }

// applyPreset fills what the settings leave out.
func (n *Node) applyPreset() {
	p, ok := presets[n.Preset]
	if !ok {
		return
	}
	if n.Platform.Region == "" {
		n.Platform.Region = p.Regions[0]
	}
	if n.DrainMs == 0 {
		n.DrainMs = p.DrainMs
	}
}
