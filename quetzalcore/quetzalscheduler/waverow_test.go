package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Another host controller has completed the wave that this one is about to store as running. After the
// conflict this one must read the state and leave the hosts of the wave alone.
func TestConflictingWaveStateIsRead(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1"}, TimeLimit: 60 * time.Second, MaxConcurrent: 1}
	c := newHostController(t, nil, plan)
	c.run(3 * time.Second)
	require.Equal(t, []quetzalwork.WaveState{quetzalwork.WaveRunning}, c.waveStates)
	conflict := quetzalwork.WaveStateStored{Wave: "1", State: quetzalwork.WaveRunning, Result: quetzalwork.StoreConflict}
	require.Contains(t, quetzalscheduler.Tick(c.w, c.now, []quetzalwork.Input{conflict}), quetzalwork.ReadWaves{})
	c.tick(quetzalwork.WavesRead{States: map[quetzalunit.WaveID]quetzalwork.WaveState{"1": quetzalwork.WaveCompleted}})
	c.hosts = []quetzalwork.Host{upHost("h1", "off")}
	c.run(5 * time.Second)
	require.Empty(t, c.orders)
	require.Len(t, c.waveStates, 1)
}

// Two host controllers order hosts of a wave one after the other. The list that the second one stores
// must have the hosts of both, and it must not order the first one's host again.
func TestConflictingWaveHostsAreMerged(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2"}, TimeLimit: 60 * time.Second, MaxConcurrent: 1}
	c := newHostController(t, nil, plan)
	c.run(3 * time.Second)
	c.tick(quetzalwork.WavesRead{
		States: map[quetzalunit.WaveID]quetzalwork.WaveState{"1": quetzalwork.WaveRunning}, HostsRevisions: map[quetzalunit.WaveID]quetzalunit.Revision{"1": 20},
	})
	c.hosts = []quetzalwork.Host{upHost("h1", "calm"), upHost("h2", "off")}
	var stored []quetzalwork.StoreWaveHosts
	c.onStoreWaveHosts = func(cmd quetzalwork.StoreWaveHosts) quetzalwork.WaveHostsStored {
		stored = append(stored, cmd)
		if cmd.Expected != 21 {
			return quetzalwork.WaveHostsStored{Wave: cmd.Wave, Result: quetzalwork.StoreConflict, Revision: 21, Done: []quetzalunit.HostID{"h1"}}
		}
		return quetzalwork.WaveHostsStored{Wave: cmd.Wave, Revision: 22}
	}
	c.run(6 * time.Second)
	require.Equal(t, []quetzalwork.StoreWaveHosts{
		{Wave: "1", Expected: 20, Done: []quetzalunit.HostID{"h2"}}, {Wave: "1", Expected: 21, Done: []quetzalunit.HostID{"h1", "h2"}},
	}, stored)
	require.Equal(t, []quetzalunit.HostID{"h2"}, hostsOf(c.orders))
	require.Contains(t, c.waveStates, quetzalwork.WaveCompleted)
}
