package shift_test

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/shift"
)

func ExampleSequence() {
	shares, err := shift.NewShares(map[ident.Region]float64{"north": 0.75, "south": 0.25})
	if err != nil {
		fmt.Println(err)
		return
	}
	sequence := shift.NewSequence(shares)
	for range 8 {
		fmt.Print(sequence.Next(), " ")
	}
	// Output: north north south north north north south north
}
