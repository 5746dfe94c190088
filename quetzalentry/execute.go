package main

import (
	"context"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsystem"
)

// perform executes a command. Commands that block run in their own goroutine, which
// posts the result to the World as an input.
func (e *engine) perform(c quetzalfleet.Command) {
	switch c := c.(type) {
	case quetzalfleet.SendAttempt:
		e.sendAttempt(&c)
	case quetzalfleet.CancelAttempt:
		if cancel := e.cancels[c.Attempt]; cancel != nil {
			cancel()
		}
	case quetzalfleet.ForwardAttempt:
		e.work.Go(func() { e.forward(&c) })
	case quetzalfleet.AnswerCaller:
		e.callers.Answer(c.Caller, c)
	case quetzalfleet.WriteStore, quetzalfleet.ReadStore, quetzalfleet.ScanStore, quetzalfleet.PutObject,
		quetzalfleet.GetObject, quetzalfleet.ListHosts, quetzalfleet.RebootHost:
		e.callStore(quetzalfleet.CallOf(c), c)
	case quetzalfleet.TellPeer:
		e.work.Go(func() { e.tellPeer(&c) })
	case quetzalfleet.AnswerGossip:
		e.server.Replies.Answer(c.Caller, c)
	case quetzalfleet.AskPeer:
		e.work.Go(func() { e.askPeer(&c) })
	case quetzalfleet.AnswerOperator:
		e.operators.Answer(c.Caller, c)
	case quetzalfleet.ObserveRequest:
		e.metrics.Observe(&c)
	case quetzalfleet.LogDecision:
		e.metrics.Count(c.Decision.Kind)
		e.log.info(string(c.Decision.Kind) + " " + c.Decision.Subject + ": " + c.Decision.Reason + ".")
	case quetzalfleet.FinishStop:
		close(e.finished)
	}
}

func (e *engine) sendAttempt(c *quetzalfleet.SendAttempt) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancels[c.Attempt] = cancel
	e.work.Go(func() {
		e.inbox.Post(quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: e.upstream.Send(ctx, c)})
	})
}

func (e *engine) callStore(call quetzalfleet.Row, c quetzalfleet.Command) {
	e.work.Go(func() {
		result, err := e.store.Perform(context.Background(), c)
		if err != nil {
			e.log.debug("The call to the platform failed.", err)
		}
		e.inbox.Post(quetzalfleet.StoreAnswered{Call: call, Result: result})
	})
}

func (e *engine) tellPeer(c *quetzalfleet.TellPeer) {
	answered, err := e.peers.Gossip(c)
	if err != nil {
		e.log.debug("Gossip with the peer "+string(c.Peer)+" failed.", err)
	}
	e.inbox.Post(answered)
}

func (e *engine) forward(c *quetzalfleet.ForwardAttempt) {
	ended, err := e.peers.Forward(c)
	if err != nil {
		e.log.debug("Forwarding request "+string(c.ID)+" to the entry at "+string(c.Address)+" failed.", err)
	}
	e.inbox.Post(ended)
}

func (e *engine) askPeer(c *quetzalfleet.AskPeer) {
	answered, err := e.peers.Join(c)
	if err != nil {
		e.log.debug("Joining request "+string(c.ID)+" at its holder failed.", err)
	}
	e.inbox.Post(answered)
}

// updateGauges sets the gauges from the state of the World, at most once per gaugePeriod.
func (e *engine) updateGauges() {
	w := &e.world
	if w.Now.Sub(e.gaugesAt) < gaugePeriod {
		return
	}
	e.gaugesAt = w.Now
	e.metrics.Gauge("control_bytes", float64(e.store.Bytes()+e.peers.Bytes()))
	e.metrics.Gauge("tick_seconds", e.busy.Seconds())
	e.metrics.Gauge("control_tick_seconds", e.control.Seconds())
	e.metrics.Gauge("requests_live", float64(w.Live))
	e.metrics.Gauge("settings_version", float64(w.InForce))
	e.metrics.Gauge("callers_waiting", float64(e.callers.Len()))
	for _, p := range quetzalsystem.Pools(w).Pools {
		e.metrics.PoolGauge("pool_headroom_hosts", p.ID, float64(p.Headroom))
		e.metrics.PoolGauge("pool_available_hosts", p.ID, float64(p.Available))
	}
}
