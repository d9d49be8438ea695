package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks/standin/metadata"
)

// Guards against readers of the store that hear nothing of it any more, turn to each
// other, and keep all that follow them from a change that other hosts know.
func TestReadersWithoutNewsFollowThoseWithNews(t *testing.T) {
	for _, silent := range []int{1, 2, 3} {
		for _, hosts := range []int{24, 40, 67} {
			for offset := range 6 {
				t.Run(fmt.Sprintf("%d readers of %d hosts, offset %d", silent, hosts, offset), func(t *testing.T) {
					inFleet(t, hosts, 4, func(t *testing.T, f *fleet) {
						time.Sleep(time.Duration(offset) * applyTime / 6)
						f.turnAway(metadata.Silent, f.readers()[:silent])
						// The watches that wait still show the first change.
						assert.LessOrEqual(t, f.until(f.configure(2)), applyTime)
						time.Sleep(2 * time.Second)
						assert.LessOrEqual(t, f.until(f.configure(3)), applyTime)
					})
				})
			}
		}
	}
}
