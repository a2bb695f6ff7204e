package config_test

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
)

// Two operators mark the same failure domain from the same state. The log orders the changes, and
// every process that folds it reaches the same verdicts.
func ExampleFold() {
	mark := func(id, author string, out bool) []byte {
		data, _ := proto.Marshal(&api.Record{
			ChangeId: id, Author: author,
			Body: &api.Record_Mark{Mark: &api.Mark{
				Target: api.MarkTarget_TARGET_DOMAIN, Name: "a", Out: out, Base: -1,
			}},
		})
		return data
	}
	log := [][]byte{mark("c1", "pat", true), mark("c2", "sam", false)}

	fold := config.NewFold()
	for offset, data := range log {
		if err := fold.Apply(int64(offset), data); err != nil {
			fmt.Println(err)
		}
	}
	for _, id := range []string{"c1", "c2"} {
		verdict, _ := fold.Verdict(id)
		fmt.Println(verdict.GetAuthor(), "accepted:", verdict.GetAccepted())
	}
	fmt.Println("a VM of the domain is out:", fold.View().VMOutOfService("vm-1", "a"))
	// Output:
	// pat accepted: true
	// sam accepted: false
	// a VM of the domain is out: true
}
