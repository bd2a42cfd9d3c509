package sizes

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// pollBytes returns the bytes of a poll that knows so many attempts and of
// its answer without an order, as they go over the wire.
func pollBytes(known int) int {
	body := entry.PollRequest{
		Session: "0f9a2c11-64e1-4c3e-9f10-9d8f3f1f2b01",
		Wait:    note.Duration(2e9),
	}
	for i := range known {
		body.Known = append(body.Known, wire.Known{
			Attempt: ledger.Attempt{
				Job:    ledger.JobID(1_000_000 + i),
				Number: 1,
			},
			Used: quota.Room{
				CPU:    1000,
				Memory: 1024,
			},
		})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	request, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:7301/v1/targets/worker-1000/poll",
		bytes.NewReader(data))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	var out bytes.Buffer
	_ = request.Write(&out)
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 18\r\nContent-Type: application/json\r\n" +
		"Date: Mon, 02 Mar 2026 06:00:00 GMT\r\n\r\n{\"lease-ms\":6000}\n"
	return out.Len() + len(answer)
}
