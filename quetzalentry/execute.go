package main

import (
	"context"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsystem"
)

// execute carries out a command. A command that blocks runs in its own goroutine,
// which posts the result to the World as an input.
func (e *engine) execute(c quetzalfleet.Command) {
	switch c := c.(type) {
	case quetzalfleet.SendAttempt:
		e.sendAttempt(&c)
	case quetzalfleet.CancelAttempt:
		if cancel := e.cancels[c.Attempt]; cancel != nil {
			cancel()
		}
	case quetzalfleet.ForwardAttempt:
		e.inFlight.Go(func() { e.forward(&c) })
	case quetzalfleet.AnswerCaller:
		e.callers.Answer(c.Caller, c)
	case quetzalfleet.WriteStore, quetzalfleet.ReadStore, quetzalfleet.ScanStore, quetzalfleet.PutObject,
		quetzalfleet.GetObject, quetzalfleet.ListHosts, quetzalfleet.RebootHost:
		e.callStore(quetzalfleet.StoreCallOf(c), c)
	case quetzalfleet.SendGossip:
		e.inFlight.Go(func() { e.sendGossip(&c) })
	case quetzalfleet.AnswerGossip:
		e.peerServer.GossipWaiters.Answer(c.Caller, c)
	case quetzalfleet.SendJoin:
		e.inFlight.Go(func() { e.sendJoin(&c) })
	case quetzalfleet.AnswerOperator:
		e.operators.Answer(c.Caller, c)
	case quetzalfleet.ObserveRequest:
		e.metrics.ObserveRequest(&c)
	case quetzalfleet.LogDecision:
		e.metrics.CountDecision(c.Decision.Kind)
		e.log.info(string(c.Decision.Kind) + " " + c.Decision.Subject + ": " + c.Decision.Reason + ".")
	case quetzalfleet.FinishStop:
		close(e.drained)
	}
}

func (e *engine) sendAttempt(c *quetzalfleet.SendAttempt) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancels[c.Attempt] = cancel
	e.inFlight.Go(func() {
		e.inbox.Post(quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: e.upstream.Send(ctx, c)})
	})
}

func (e *engine) callStore(call quetzalfleet.Row, c quetzalfleet.Command) {
	e.inFlight.Go(func() {
		result, err := e.store.Execute(context.Background(), c)
		if err != nil {
			e.log.debug("The call to the platform failed.", err)
		}
		e.inbox.Post(quetzalfleet.StoreAnswered{Call: call, Result: result})
	})
}

func (e *engine) sendGossip(c *quetzalfleet.SendGossip) {
	answered, err := e.peerClient.Gossip(c)
	if err != nil {
		e.log.debug("Gossip with the peer "+string(c.Peer)+" failed.", err)
	}
	e.inbox.Post(answered)
}

func (e *engine) forward(c *quetzalfleet.ForwardAttempt) {
	ended, err := e.peerClient.Forward(c)
	if err != nil {
		e.log.debug("The call to the entry at "+string(c.Address)+" failed for request "+string(c.ID)+".", err)
	}
	e.inbox.Post(ended)
}

func (e *engine) sendJoin(c *quetzalfleet.SendJoin) {
	answered, err := e.peerClient.Join(c)
	if err != nil {
		e.log.debug("Joining request "+string(c.ID)+" at its holder failed.", err)
	}
	e.inbox.Post(answered)
}

// updateGauges sets the gauges from the state of the World, at most once per gaugePeriod.
func (e *engine) updateGauges() {
	w := &e.world
	if w.Now.Sub(e.gaugesUpdatedAt) < gaugePeriod {
		return
	}
	e.gaugesUpdatedAt = w.Now
	e.metrics.SetGauge("control_bytes", float64(e.store.Bytes()+e.peerClient.Bytes()))
	e.metrics.SetGauge("tick_seconds", e.tickTime.Seconds())
	e.metrics.SetGauge("control_tick_seconds", e.controlTickTime.Seconds())
	e.metrics.SetGauge("requests_live", float64(w.LiveRequests))
	e.metrics.SetGauge("settings_version", float64(w.SettingsVersion))
	e.metrics.SetGauge("callers_waiting", float64(e.callers.Len()))
	for _, p := range quetzalsystem.Pools(w).Pools {
		e.metrics.SetPoolGauge("pool_headroom_hosts", p.ID, float64(p.Headroom))
		e.metrics.SetPoolGauge("pool_available_hosts", p.ID, float64(p.Available))
	}
}
