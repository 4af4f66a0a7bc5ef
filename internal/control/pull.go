package control

import (
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/spread"
	"github.com/filbertpier/filbertpier/snapshot"
)

// onPullRequest answers with the version in force if it is at least as new as
// the one requested.
func (a *Agent) onPullRequest(m *message.PullRequest, out *effects) {
	from, ok := a.table.Get(m.VM)
	if !ok {
		return
	}
	self := a.self.Get()
	cur := a.store.Current()
	if cur == nil || cur.ID.Less(m.Want) {
		out.send(self, from, &message.PullResponse{VM: self.VM, ID: m.Want, Missing: true})
		return
	}
	have := m.Have
	if _, held := a.store.Find(have); !held {
		have = snapshot.ID{}
	}
	resp, ok := a.pullResponses.Get(cur.ID, have)
	if !ok {
		var err error
		if resp, err = a.encodeVersion(cur, have); err != nil {
			out.log(effect.EventSectionInvalid, "version", cur.ID.Version, "error", err.Error())
			return
		}
		resp.VM = self.VM
		a.pullResponses.Put(have, resp)
	}
	out.send(self, from, resp)
}

// encodeVersion encodes a snapshot as a delta to the version have, or in full
// if that version is not held.
func (a *Agent) encodeVersion(cur *snapshot.Snapshot, have snapshot.ID) (*message.PullResponse, error) {
	resp := &message.PullResponse{ID: cur.ID}
	var baseManifest []byte
	bases := map[string]manifest.Digest{}
	if base, ok := a.store.Find(have); ok {
		resp.Base = have
		baseManifest = base.Envelope.Manifest
		for _, ref := range base.Manifest.Sections {
			bases[ref.Name] = ref.Digest
		}
	}
	var err error
	if resp.Manifest, err = spread.EncodeDelta(baseManifest, cur.Envelope.Manifest); err != nil {
		return nil, err
	}
	resp.Signatures = cur.Envelope.Signatures
	for _, ref := range cur.Manifest.Sections {
		base := bases[ref.Name]
		if base == ref.Digest {
			continue
		}
		delta, err := a.encodeSection(cur, ref.Digest, base)
		if err != nil {
			return nil, err
		}
		resp.Sections = append(resp.Sections, delta)
	}
	return resp, nil
}

func (a *Agent) encodeSection(cur *snapshot.Snapshot, digest, base manifest.Digest) (message.SectionDelta, error) {
	data, _ := cur.Section(digest)
	baseData, ok := a.store.Section(base)
	if !ok {
		base, baseData = manifest.Digest{}, nil
	}
	frame, err := spread.EncodeDelta(baseData, data)
	return message.SectionDelta{Digest: digest, Base: base, Frame: frame}, err
}

func (a *Agent) onPullResponse(now time.Time, m *message.PullResponse, out *effects) {
	current := a.store.CurrentID()
	if m.Missing {
		if current.Less(m.ID) {
			// nextSource has already moved past the source that was asked, so
			// this passes over one further source.
			a.transfers.withExisting(m.ID, func(tr *transfer) { tr.nextIndex++ })
		}
		return
	}
	if !current.Less(m.ID) || a.refusedVersions.Has(m.ID) {
		return
	}
	env, sections, err := a.decodeVersion(m)
	if err != nil {
		out.log(effect.EventSectionInvalid, "version", m.ID.Version, "from", m.VM, "error", err.Error())
		return
	}
	a.adopt(now, env, sections, a.originOf(m.VM, a.self.Get()), out)
}

func (a *Agent) decodeVersion(m *message.PullResponse) (*manifest.Envelope, map[manifest.Digest][]byte, error) {
	var baseManifest []byte
	if !m.Base.IsZero() {
		base, ok := a.store.Find(m.Base)
		if !ok {
			return nil, nil, &UnknownBaseError{Base: m.Base}
		}
		baseManifest = base.Envelope.Manifest
	}
	raw, err := spread.DecodeDelta(baseManifest, m.Manifest)
	if err != nil {
		return nil, nil, err
	}
	env := &manifest.Envelope{Manifest: raw, Signatures: m.Signatures}
	sections := make(map[manifest.Digest][]byte, len(m.Sections))
	for _, s := range m.Sections {
		base, _ := a.store.Section(s.Base)
		data, err := spread.DecodeDelta(base, s.Frame)
		if err != nil {
			return nil, nil, err
		}
		sections[s.Digest] = data
	}
	return env, sections, nil
}
