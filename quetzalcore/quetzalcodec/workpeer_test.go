package quetzalcodec_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

func TestWorkMessageRoundTrip(t *testing.T) {
	duty := quetzalwork.Duty{Ordered: []quetzalunit.HostID{"h1", "h2"}, Revision: 9}
	for _, want := range []quetzalwork.PeerMessage{
		quetzalwork.TellDuty{Pool: "p", Duty: duty},
		quetzalwork.TellDuty{Pool: "p", Duty: quetzalwork.Duty{Holder: "e", Incarnation: 3, Address: "a", Ordered: []quetzalunit.HostID{}, Revision: 10}},
		quetzalwork.TellDropped{Pool: "p", Token: 8},
		quetzalwork.AskEmpty{Pool: "p", Host: "h", Wave: "1"},
		quetzalwork.TellTaken{Pool: "p", Host: "h"},
		quetzalwork.TellCancelled{Pool: "p", Job: "00000000000000aa"},
	} {
		d := quetzalcodec.EncodeWorkMessage(want)
		got, err := quetzalcodec.DecodeWorkMessage(&d)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

func TestWorkReplyRoundTrip(t *testing.T) {
	for _, want := range []quetzalwork.PeerReply{
		quetzalwork.LoadReply{Load: quetzalwork.PoolLoad{
			Wanted: 5000, Usable: 3000, Hosts: 2, Joined: []quetzalunit.HostID{"h1"}, Missing: []quetzalunit.Label{"fast"},
			Idle: []quetzalwork.IdleHost{{Host: "h2", Since: 3 * time.Second}},
		}},
		quetzalwork.StateReply{Known: true, State: quetzalwork.JobCompleted},
		quetzalwork.PendingReply{Pending: 4},
		quetzalwork.EmptyReply{Safe: true},
		quetzalwork.NotHolder{},
		quetzalwork.Heard{},
	} {
		d := quetzalcodec.EncodeWorkReply(want)
		got, err := quetzalcodec.DecodeWorkReply(&d)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}
