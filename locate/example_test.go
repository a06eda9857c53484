package locate_test

import (
	"fmt"
	"net/netip"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/locate"
)

func ExampleDirectory_Lookup() {
	table, err := locate.NewTable([]locate.Block{
		locate.NewBlock(netip.MustParsePrefix("192.0.2.0/24"), "north-a"),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	regions := map[ident.Zone]ident.Region{"north-a": "north", "south-a": "south"}
	hosts := []locate.Host{
		locate.NewHost("entry-1", "north-a", "north", "127.0.0.1:7310"),
		locate.NewHost("entry-2", "south-a", "south", "127.0.0.1:7320"),
	}
	directory := locate.NewDirectory(table, regions, hosts, 5*time.Second)
	for _, h := range directory.Lookup(netip.MustParseAddr("192.0.2.7")).Hosts() {
		fmt.Println(h.Host().Name(), h.Weight())
	}
	// Output:
	// entry-1 2
	// entry-2 0
}
