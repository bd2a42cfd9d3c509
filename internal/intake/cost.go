package intake

import "bytes"

// Bytes that the decoded form of JSON takes: objectBytes for an object, and
// elementBytes for an element of a list. A step of a job, which may be empty, takes
// about 230 bytes.
const (
	objectBytes  = 256
	elementBytes = 8
	// copies is how often the text is in memory while a request is decoded and
	// forwarded: as it was received or encoded again, and decoded.
	copies = 2
)

// JSONCost returns an estimate of the bytes that a request with a JSON body needs
// until it is answered. The decoded form of a body that consists of empty objects is
// many times its text.
func JSONCost(data []byte) int64 {
	objects, elements := countJSON(data)
	return copies*int64(len(data)) + objectBytes*objects + elementBytes*elements
}

// countJSON returns the number of objects and of commas outside of strings.
func countJSON(data []byte) (objects, commas int64) {
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{':
			objects++
		case ',':
			commas++
		case '"':
			i = endOfString(data, i)
		}
	}
	return objects, commas
}

// endOfString returns the index of the quote that ends the string which starts at
// the index, or the length of the data.
func endOfString(data []byte, start int) int {
	for i := start + 1; ; i++ {
		next := bytes.IndexByte(data[i:], '"')
		if next < 0 {
			return len(data)
		}
		i += next
		escapes := 0
		for data[i-1-escapes] == '\\' {
			escapes++
		}
		if escapes%2 == 0 {
			return i
		}
	}
}
