package quarantine_test

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
)

func Example() {
	var inspector quarantine.Controller
	const fingerprint ebonyworks.Fingerprint = 17
	replicas := []ebonyworks.Server{{ID: "stock-finder-a"}, {ID: "stock-finder-b"}}
	shards := []ebonyworks.ShardReplicas{{Shard: "short", All: replicas, Usable: replicas}}

	verdict, _ := inspector.Check(fingerprint)
	fmt.Println("unknown:", verdict == ebonyworks.VerdictUntested)
	trial, _ := inspector.ChooseCanary(fingerprint, shards)
	inspector.RecordCrash(fingerprint, trial.Server.ID, 1)

	// The server that died isn't back, and the other one must stay untouched.
	shards[0].Usable = nil
	for _, server := range replicas {
		if server.ID != trial.Server.ID {
			shards[0].Usable = append(shards[0].Usable, server)
		}
	}
	_, refusal := inspector.ChooseCanary(fingerprint, shards)
	fmt.Println(refusal.Code, refusal.Ran, refusal.RetryAfter)

	inspector.RecordSuccess(fingerprint)
	verdict, _ = inspector.Check(fingerprint)
	fmt.Println("cleared:", verdict == ebonyworks.VerdictSafe)
	// Output:
	// unknown: true
	// crash_suspect true 5s
	// cleared: true
}
