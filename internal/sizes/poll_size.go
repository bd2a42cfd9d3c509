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

// pollSize returns the encoded size of a poll request that lists the given
// number of attempts, plus that of a response without orders.
func pollSize(attempts int) int {
	request := entry.PollRequest{
		Session: "0f9a2c11-64e1-4c3e-9f10-9d8f3f1f2b01",
		Wait:    note.Duration(2e9),
	}
	for i := range attempts {
		request.Attempts = append(request.Attempts, wire.AttemptStatus{
			Attempt: ledger.Attempt{
				Job:    ledger.JobID(1_000_000 + i),
				Number: 1,
			},
			Used: quota.Resources{
				CPU:    1000,
				Memory: 1024,
			},
		})
	}
	body, err := json.Marshal(request)
	if err != nil {
		return 0
	}
	httpRequest, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:7301/v1/targets/worker-1000/poll",
		bytes.NewReader(body))
	if err != nil {
		return 0
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	var encoded bytes.Buffer
	_ = httpRequest.Write(&encoded)
	response := "HTTP/1.1 200 OK\r\nContent-Length: 18\r\nContent-Type: application/json\r\n" +
		"Date: Mon, 02 Mar 2026 06:00:00 GMT\r\n\r\n{\"lease-ms\":6000}\n"
	return encoded.Len() + len(response)
}
