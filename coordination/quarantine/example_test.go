package quarantine_test

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
)

func Example() {
	var controller quarantine.Controller
	const fingerprint ebonyworks.Fingerprint = 17
	replicas := []ebonyworks.Server{{ID: "stock-finder-a"}, {ID: "stock-finder-b"}}
	shards := []ebonyworks.ShardReplicas{{Shard: "short", All: replicas, Usable: replicas}}

	verdict, _ := controller.Check(fingerprint)
	fmt.Println("unknown:", verdict == ebonyworks.VerdictUntested)
	canary, _ := controller.ChooseCanary(fingerprint, shards)
	controller.RecordCrash(fingerprint, canary.Server.ID, 1)

	// The server that crashed hasn't restarted, and the other one must not be exposed
	// to the request.
	shards[0].Usable = nil
	for _, server := range replicas {
		if server.ID != canary.Server.ID {
			shards[0].Usable = append(shards[0].Usable, server)
		}
	}
	_, refusal := controller.ChooseCanary(fingerprint, shards)
	fmt.Println(refusal.Code, refusal.Ran, refusal.RetryAfter)

	controller.RecordSuccess(fingerprint)
	verdict, _ = controller.Check(fingerprint)
	fmt.Println("cleared:", verdict == ebonyworks.VerdictSafe)
	// Output:
	// unknown: true
	// crash_suspect true 5s
	// cleared: true
}
