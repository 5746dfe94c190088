package quetzalcodec

import (
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalwire"
)

// FuzzDecodeRow checks that each row that can be decoded is the same after it is encoded and
// decoded again, and that other input gives a RowError.
func FuzzDecodeRow(f *testing.F) {
	f.Add("Hosts", "h", `{"Host":"h","State":"Serving","Generation":3}`)
	f.Add("Pools", "p", `{"Pool":"p","Spare":true,"Budgets":[{"Zone":"a","MinHosts":2}]}`)
	f.Add("Settings", "Fleet", `{"Path":"Fleet","Version":1,"Values":{"RetryPolicy":"None","RetryBaseMs":7}}`)
	f.Add("Claims", "r", `{"Request":"r","State":"Done","Status":200,"Fields":[{"Name":"A","Value":"b"}],"Answer":"eA=="}`)
	f.Add("Rosters", "a", `{"Entries":[{"Entry":"e","Incarnation":5,"PeerAddress":"127.0.0.1:1"}]}`)
	f.Add("Waves", "w", `{"Wave":"w","State":"Paused","Zones":["a"],"Pools":[],"MaxConcurrent":2}`)
	f.Add("Nothing", "x", `{}`)
	f.Fuzz(func(t *testing.T, table, key, data string) {
		k := quetzalfleet.RowKey{Table: quetzalfleet.TableName(table), Key: key}
		row, err := DecodeRow(k, data)
		if err != nil {
			var rowError *RowError
			require.ErrorAs(t, err, &rowError)
			return
		}
		encoded, err := EncodeRow(row)
		require.NoError(t, err)
		decoded, err := DecodeRow(k, encoded)
		require.NoError(t, err)
		require.Equal(t, row, decoded)
	})
}

// FuzzForward checks that a forwarded request keeps its body and its Idempotent flag.
func FuzzForward(f *testing.F) {
	f.Add("id", "queue", []byte("body"), true)
	f.Fuzz(func(t *testing.T, id, queue string, body []byte, idempotent bool) {
		in, err := DecodeForward(&quetzalwire.ForwardMessage{Request: id, Queue: queue, Body: string(body)})
		if err == nil {
			require.True(t, in.Forwarded)
		}
		sent := &quetzalfleet.ForwardAttempt{Work: &quetzalfleet.Payload{Body: body}, Idempotent: idempotent}
		got, err := DecodeForward(EncodeForward(sent))
		require.NoError(t, err)
		require.Equal(t, string(body), string(got.Work.Body))
		require.Equal(t, idempotent, got.Idempotent)
	})
}
