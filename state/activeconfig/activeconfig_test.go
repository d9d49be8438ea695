package activeconfig_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/activeconfig"
)

func version(revision ebonyworks.Revision, digest byte) ebonyworks.ConfigurationVersion {
	return ebonyworks.ConfigurationVersion{Revision: revision, Digest: ebonyworks.Digest{digest}}
}

func bundle(m ebonyworks.ConfigurationVersion) activeconfig.Bundle {
	return activeconfig.Bundle{
		Configuration: &ebonyworks.Configuration{Version: m},
		Manifest:      []byte{byte(m.Revision)},
		Parts:         []activeconfig.StoredPart{{Digest: m.Digest, Bytes: []byte("part")}},
	}
}

// Guards against a host that returns to an older configuration, or that doesn't record
// why an operator's change isn't in force.
func TestAcceptOrder(t *testing.T) {
	var h activeconfig.Holder
	now := time.Now()
	assert.Nil(t, h.Current())
	_, found := h.Manifest()
	assert.False(t, found)
	steps := []struct {
		offered, inForce ebonyworks.ConfigurationVersion
		accepted         bool
	}{
		{version(2, 5), version(2, 5), true},
		{version(1, 9), version(2, 5), false},
		{version(2, 5), version(2, 5), false},
		{version(2, 4), version(2, 5), false},
		{version(2, 6), version(2, 6), true},
		{version(3, 1), version(3, 1), true},
	}
	for _, step := range steps {
		assert.Equal(t, step.accepted, h.Accept(bundle(step.offered), now))
		assert.Equal(t, step.inForce, h.Version())
	}
	refusal, found := h.Refused(ebonyworks.Digest{5})
	assert.True(t, found)
	assert.Contains(t, refusal.Problems[0].Message, "larger digest")
	part, found := h.Part(ebonyworks.Digest{1})
	assert.True(t, found)
	assert.Equal(t, "part", string(part))
	_, found = h.Part(ebonyworks.Digest{5})
	assert.False(t, found)
}

// Guards against a history of refusals that grows without bound.
func TestRefusalsAreBounded(t *testing.T) {
	var h activeconfig.Holder
	problems := []ebonyworks.Problem{{Path: "Routes", Message: "missing"}}
	for i := range 100 {
		assert.True(t, h.Refuse(version(1, byte(i+1)), problems, time.Now()))
		assert.False(t, h.Refuse(version(1, byte(i+1)), problems, time.Now()))
	}
	assert.Len(t, h.Refusals(), 32)
	assert.True(t, h.RefuseConflicting(version(1, 200), time.Now()))
	_, found := h.Refused(ebonyworks.Digest{1})
	assert.False(t, found)
}
