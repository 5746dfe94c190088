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
