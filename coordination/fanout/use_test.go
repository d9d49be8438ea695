package fanout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an attempt that outlives its use, or ends before, in each way in
// which a context is waited for.
func TestUseIsAContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, end := range map[string]func(u *use){
			"ended":    func(u *use) { u.end(context.Canceled) },
			"deadline": func(*use) { time.Sleep(time.Second) },
		} {
			u := &use{}
			if name == "deadline" {
				u.deadline = time.Now().Add(time.Second)
			}
			called, stopped := false, false
			context.AfterFunc(u, func() { called = true })
			stop := context.AfterFunc(u, func() { stopped = true })
			child, cancel := context.WithCancel(u)
			assert.NoError(t, u.Err(), name)
			assert.True(t, stop(), name)
			assert.False(t, stop(), name)
			end(u)
			synctest.Wait()
			<-u.Done()
			<-child.Done()
			cancel()
			assert.Error(t, u.Err(), name)
			assert.True(t, called, name)
			assert.False(t, stopped, name)
			late := false
			stop = context.AfterFunc(u, func() { late = true })
			synctest.Wait()
			assert.True(t, late, name)
			assert.False(t, stop(), name)
			u.end(context.Canceled)
		}
		var unused use
		unused.end(context.Canceled)
		<-unused.Done()
		assert.ErrorIs(t, unused.Err(), context.Canceled)
	})
}
