package peering

import (
	"fmt"
	"testing"
	"time"
)

// VMs are replaced all day under new names. Those that are gone leave the list after a while,
// a few at a time; one that is heard now and then stays, and one that comes back at another
// address counts anew.
func TestNamesOfEntriesThatAreGone(t *testing.T) {
	r := &Roll{}
	self, heard, moved := Name{"front-1", "10.0.0.1"}, Name{"front-2", "10.0.0.2"}, Name{"front-3", "10.0.0.3"}
	names := []Name{self, heard, moved}
	for i := range 2 * mostGone {
		names = append(names, Name{fmt.Sprint("old-", i), fmt.Sprint("10.0.1.", i)})
	}
	const each = 20 * time.Second
	var gone []Name
	for now := time.Duration(0); now < goneAfter; now += each {
		if now == goneAfter/2 {
			moved.IP = "10.0.0.33"
			names[2] = moved
		}
		live := map[string]bool{self.IP: true, heard.IP: now%(5*time.Minute) == 0}
		gone = r.Read(names, live, now)
		if len(gone) != 0 {
			t.Fatalf("after %v %v are gone", now, gone)
		}
	}
	gone = r.Read(names, map[string]bool{self.IP: true}, goneAfter)
	if len(gone) != mostGone {
		t.Fatalf("%d names are gone, %d at a time", len(gone), mostGone)
	}
	for _, n := range gone {
		if n == self || n == heard || n == moved {
			t.Errorf("%v is gone", n)
		}
	}
	rest := names[:3+mostGone]
	if gone = r.Read(rest, map[string]bool{self.IP: true}, goneAfter+each); len(gone) != mostGone {
		t.Errorf("%d names of the rest are gone", len(gone))
	}
}
