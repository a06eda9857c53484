package shift_test

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/shift"
)

func ExamplePicker() {
	shares, err := shift.NewShares(map[ident.Region]float64{"north": 0.75, "south": 0.25})
	if err != nil {
		fmt.Println(err)
		return
	}
	picker := shift.NewPicker(shares)
	for range 8 {
		fmt.Print(picker.Pick(), " ")
	}
	// Output: north north south north north north south north
}
