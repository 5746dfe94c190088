package quetzalscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// newRoutedWorld returns a World with a configuration of the given queues.
func newRoutedWorld(queues ...quetzalwork.QueueSpec) *quetzalwork.World {
	cfg := testConfig()
	cfg.Queues = queues
	w := &quetzalwork.World{}
	quetzalscheduler.Start(w, 1)
	quetzalscheduler.Tick(w, 1, []quetzalwork.Input{quetzalwork.ConfigWatched{Config: &cfg, SeenRevision: 1}})
	return w
}

// ask returns the answer that a World gives a call at once, nil if it has to find it out.
func ask(w *quetzalwork.World, host, path string) quetzalwork.Answer {
	for _, c := range quetzalscheduler.Tick(w, w.Now+1, []quetzalwork.Input{quetzalwork.JobQueried{Caller: 1, HTTPHost: host, Path: path, Timeout: time.Second}}) {
		if a, ok := c.(quetzalwork.AnswerCaller); ok {
			return a.Answer
		}
	}
	return nil
}

func TestLongestPrefixOfTheHostIsRouted(t *testing.T) {
	queue := func(id quetzalunit.QueueID, host, prefix string) quetzalwork.QueueSpec {
		return quetzalwork.QueueSpec{ID: id, HTTPHost: host, PathPrefix: prefix, Pool: testPool}
	}
	w := newRoutedWorld(queue("a", "one", "/x/"), queue("b", "one", "/x/y/"), queue("c", "two", "/z"))
	for _, path := range []string{"/x/", "/x/y/", "/x/y/00000000000000ff"} {
		require.Nil(t, ask(w, "one", path), path)
	}
	require.Nil(t, ask(w, "two", "/z00000000000000ff"))
	require.Equal(t, quetzalwork.Answer(quetzalwork.NoSuchJob{}), ask(w, "one", "/x/z/00000000000000ff"), "the rest is no job's id")
	for _, call := range [][2]string{{"one", "/z"}, {"two", "/x/"}, {"two", "/"}, {"three", "/x/"}} {
		require.Equal(t, quetzalwork.Answer(quetzalwork.NoSuchQueue{}), ask(w, call[0], call[1]), call)
	}
}

// BenchmarkRoute measures a call to one of thousands of queues, and with it the lookup of its queue.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{8, 5600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			queues := make([]quetzalwork.QueueSpec, n)
			for i := range queues {
				queues[i] = quetzalwork.QueueSpec{ID: quetzalunit.QueueID(fmt.Sprint("q", i)), HTTPHost: "host", PathPrefix: fmt.Sprintf("/%08d/", i), Pool: testPool}
			}
			w := newRoutedWorld(queues...)
			in := []quetzalwork.Input{quetzalwork.JobQueried{Caller: 1, HTTPHost: "host", Path: "/none/", Timeout: time.Second}}
			for b.Loop() {
				quetzalscheduler.Tick(w, w.Now+1, in)
			}
		})
	}
}
