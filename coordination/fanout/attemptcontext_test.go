package fanout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a context that doesn't end with its attempt, or ends before it,
// for each way of waiting for a context.
func TestAttemptContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, end := range map[string]func(c *attemptContext){
			"ended":    func(c *attemptContext) { c.cancel(context.Canceled) },
			"deadline": func(*attemptContext) { time.Sleep(time.Second) },
		} {
			c := &attemptContext{}
			if name == "deadline" {
				c.deadline = time.Now().Add(time.Second)
			}
			called, stopped := false, false
			context.AfterFunc(c, func() { called = true })
			stop := context.AfterFunc(c, func() { stopped = true })
			child, cancel := context.WithCancel(c)
			assert.NoError(t, c.Err(), name)
			assert.True(t, stop(), name)
			assert.False(t, stop(), name)
			end(c)
			synctest.Wait()
			<-c.Done()
			<-child.Done()
			cancel()
			assert.Error(t, c.Err(), name)
			assert.True(t, called, name)
			assert.False(t, stopped, name)
			late := false
			stop = context.AfterFunc(c, func() { late = true })
			synctest.Wait()
			assert.True(t, late, name)
			assert.False(t, stop(), name)
			c.cancel(context.Canceled)
		}
		var unwatched attemptContext
		unwatched.cancel(context.Canceled)
		<-unwatched.Done()
		assert.ErrorIs(t, unwatched.Err(), context.Canceled)
	})
}
