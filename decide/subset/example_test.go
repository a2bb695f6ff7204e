package subset_test

import (
	"fmt"

	"github.com/apricothub/apricothub/decide/subset"
)

func ExampleForClient() {
	entries := []subset.Node{{Name: "entry-1", Domain: "a"}, {Name: "entry-2", Domain: "b"}}
	agents := []subset.Node{
		{Name: "vm-1", Domain: "a"},
		{Name: "vm-2", Domain: "a"},
		{Name: "vm-3", Domain: "b"},
		{Name: "vm-4", Domain: "b"},
	}
	fmt.Println(len(subset.ForClient("entry-1", entries, agents, 2)), "of", len(agents))
	// Output: 2 of 4
}
