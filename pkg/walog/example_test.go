package walog_test

import (
	"fmt"
	"os"

	"github.com/jasmineward/jasmineward/pkg/walog"
)

func ExampleOpen() {
	dir, err := os.MkdirTemp("", "walog-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log, err := walog.Open(dir, func([]byte) error { return nil })
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = log.Append([]byte("first"))
	_ = log.Sync()
	_ = log.Close()
	_, _ = walog.Open(dir, func(record []byte) error {
		fmt.Println(string(record))
		return nil
	})
	// Output: first
}
