package activeconfig_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/activeconfig"
)

func mark(revision ebonyworks.Revision, digest byte) ebonyworks.ConfigurationVersion {
	return ebonyworks.ConfigurationVersion{Revision: revision, Digest: ebonyworks.Digest{digest}}
}

func bundle(m ebonyworks.ConfigurationVersion) activeconfig.Bundle {
	return activeconfig.Bundle{
		Configuration: &ebonyworks.Configuration{Version: m},
		Manifest:      []byte{byte(m.Revision)},
		Parts:         []activeconfig.StoredPart{{Digest: m.Digest, Bytes: []byte("part")}},
	}
}

// Guards against a host that goes back to an older configuration, or that
// doesn't say why an operator's change isn't in force.
func TestAcceptOrder(t *testing.T) {
	var e activeconfig.Holder
	now := time.Now()
	assert.Nil(t, e.Current())
	_, found := e.Manifest()
	assert.False(t, found)
	steps := []struct {
		offered, inForce ebonyworks.ConfigurationVersion
		accepted         bool
	}{
		{mark(2, 5), mark(2, 5), true},
		{mark(1, 9), mark(2, 5), false},
		{mark(2, 5), mark(2, 5), false},
		{mark(2, 4), mark(2, 5), false},
		{mark(2, 6), mark(2, 6), true},
		{mark(3, 1), mark(3, 1), true},
	}
	for _, step := range steps {
		assert.Equal(t, step.accepted, e.Accept(bundle(step.offered), now))
		assert.Equal(t, step.inForce, e.Version())
	}
	refusal, found := e.Refused(ebonyworks.Digest{5})
	assert.True(t, found)
	assert.Contains(t, refusal.Problems[0].Message, "larger digest")
	part, found := e.Part(ebonyworks.Digest{1})
	assert.True(t, found)
	assert.Equal(t, "part", string(part))
	_, found = e.Part(ebonyworks.Digest{5})
	assert.False(t, found)
}

// Guards against a history of refusals that grows without bound.
func TestRefusalsAreBounded(t *testing.T) {
	var e activeconfig.Holder
	problems := []ebonyworks.Problem{{Path: "Routes", Message: "missing"}}
	for i := range 100 {
		assert.True(t, e.Refuse(mark(1, byte(i+1)), problems, time.Now()))
		assert.False(t, e.Refuse(mark(1, byte(i+1)), problems, time.Now()))
	}
	assert.Len(t, e.Refusals(), 32)
	assert.True(t, e.RefuseConflicting(mark(1, 200), time.Now()))
	_, found := e.Refused(ebonyworks.Digest{1})
	assert.False(t, found)
}
