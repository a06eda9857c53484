package codec_test

import (
	"fmt"

	"rhubarbrack/codec"
)

func ExampleDecodeDocument() {
	document, err := codec.DecodeDocument([]byte("kind: team\nname: carvers\nrate: 200\nburst: 400\n"))
	fmt.Println(document.Kind(), document.Name(), err)
	_, err = codec.DecodeDocument([]byte("kind: team\nname: carvers\nrate: fast\nburst: 400\n"))
	fmt.Println(err != nil)
	// Output:
	// team carvers <nil>
	// true
}
