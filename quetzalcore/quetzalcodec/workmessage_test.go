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
	duty := quetzalwork.Duty{OrderedHosts: []quetzalunit.HostID{"h1", "h2"}, Revision: 9}
	for _, want := range []quetzalwork.PeerMessage{
		quetzalwork.NotifyDuty{Pool: "p", Duty: duty},
		quetzalwork.NotifyDuty{Pool: "p", Duty: quetzalwork.Duty{Holder: "e", Incarnation: 3, Address: "a", OrderedHosts: []quetzalunit.HostID{}, EarlierLeases: 7 * time.Second, Revision: 10}},
		quetzalwork.NotifyDutyDropped{Pool: "p", Token: 8},
		quetzalwork.EvacuateHost{Pool: "p", Host: "h", Wave: "1"},
		quetzalwork.NotifyHostWithdrawn{Pool: "p", Host: "h", Minion: "m", Incarnation: 1_790_000_000_123},
		quetzalwork.NotifyMinionRestarted{Pool: "p", Minion: "m"},
		quetzalwork.NotifyCancelled{Pool: "p", Job: "00000000000000aa"},
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
			Wanted: 5000, Usable: 3000, UsableHosts: 2, JoinedHosts: []quetzalunit.HostID{"h1"}, MissingLabels: []quetzalunit.Label{"fast"},
			MovableHosts: []quetzalwork.MovableHost{{Host: "h2", IdleFor: 3 * time.Second}},
		}},
		quetzalwork.StateReply{Known: true, State: quetzalwork.JobCompleted},
		quetzalwork.PendingReply{Pending: 4},
		quetzalwork.EvacuationReply{SafeToInterrupt: true},
		quetzalwork.NotHolder{},
		quetzalwork.Acknowledged{},
	} {
		d := quetzalcodec.EncodeWorkReply(want)
		got, err := quetzalcodec.DecodeWorkReply(&d)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}
