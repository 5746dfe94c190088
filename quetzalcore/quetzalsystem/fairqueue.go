package quetzalsystem

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// longShareLimit is the value of Team.LongShare from which DemoteLanes treats all of
// a team's requests as long.
const longShareLimit quetzalunit.Percent = 50

func laneOf(c quetzalfleet.Class, urgent bool) quetzalfleet.Lane {
	switch {
	case urgent:
		return quetzalfleet.UrgentLane
	case c == quetzalfleet.ClassLong:
		return quetzalfleet.LongLane
	}
	return quetzalfleet.ShortLane
}

// effectiveClass returns the class by which a request is scheduled: its declared class,
// or Long under DemoteLanes if its team often declares long runs as short.
func effectiveClass(w *quetzalfleet.World, r *quetzalfleet.Request) quetzalfleet.Class {
	if _, ok := settingsOf(w, w.Queues.At(r.Queue).Pool).Lanes.(quetzalfleet.DemoteLanes); !ok {
		return r.Class
	}
	if w.Teams.At(r.Team).LongShare >= longShareLimit {
		return quetzalfleet.ClassLong
	}
	return r.Class
}

// enqueue appends a request to the FIFO of its team and lane, or puts it at the head
// if front is set.
func enqueue(w *quetzalfleet.World, row quetzalfleet.Row, front bool) {
	r := w.Requests.At(row)
	key := quetzalfleet.TeamFIFOKey{Queue: r.Queue, Team: r.Team, Lane: laneOf(r.EffectiveClass, r.Urgent)}
	fifoRow := w.TeamFIFOByKey.Get(key)
	if fifoRow == 0 {
		fifoRow = w.TeamFIFOs.Insert(quetzalfleet.TeamFIFO{Queue: r.Queue, Team: r.Team, Lane: key.Lane})
		w.TeamFIFOByKey.Put(key, fifoRow)
	}
	f := w.TeamFIFOs.At(fifoRow)
	r.State = quetzalfleet.RequestQueued
	r.FIFO = fifoRow
	linkRequest(w, f, row, front)
	q := w.Queues.At(r.Queue)
	q.Queued++
	w.Teams.At(r.Team).Queued++
	if f.Length == 1 {
		f.RemainingTurns = w.Teams.At(r.Team).Weight
		q.Lanes[key.Lane] = append(q.Lanes[key.Lane], fifoRow)
	}
	w.DirtyPools.Add(q.Pool)
}

func linkRequest(w *quetzalfleet.World, f *quetzalfleet.TeamFIFO, row quetzalfleet.Row, front bool) {
	r := w.Requests.At(row)
	f.Length++
	switch {
	case f.Head == 0:
		f.Head, f.Tail = row, row
	case front:
		r.Next = f.Head
		w.Requests.At(f.Head).Prev = row
		f.Head = row
	default:
		r.Prev = f.Tail
		w.Requests.At(f.Tail).Next = row
		f.Tail = row
	}
}

// unlinkRequest removes a queued request from its FIFO.
func unlinkRequest(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	f := w.TeamFIFOs.At(r.FIFO)
	if prev := w.Requests.At(r.Prev); prev != nil {
		prev.Next = r.Next
	} else {
		f.Head = r.Next
	}
	if next := w.Requests.At(r.Next); next != nil {
		next.Prev = r.Prev
	} else {
		f.Tail = r.Prev
	}
	f.Length--
	q := w.Queues.At(r.Queue)
	q.Queued--
	w.Teams.At(r.Team).Queued--
	if f.Length == 0 {
		fifos := q.Lanes[f.Lane]
		i := slices.Index(fifos, r.FIFO)
		q.Lanes[f.Lane] = slices.Delete(fifos, i, i+1)
	}
	r.Prev, r.Next, r.FIFO = 0, 0, 0
}

// advanceRoundRobin applies weighted round robin between the teams of a lane. It counts a
// request that is about to start and, once the team at the head of the lane has used
// its turns, moves the team to the back. A team's weight is its turns per round.
func advanceRoundRobin(w *quetzalfleet.World, queueRow, fifoRow quetzalfleet.Row) {
	f := w.TeamFIFOs.At(fifoRow)
	q := w.Queues.At(queueRow)
	f.RemainingTurns--
	fifos := q.Lanes[f.Lane]
	if f.RemainingTurns > 0 || len(fifos) < 2 || fifos[0] != fifoRow {
		return
	}
	f.RemainingTurns = max(1, w.Teams.At(f.Team).Weight)
	copy(fifos, fifos[1:])
	fifos[len(fifos)-1] = fifoRow
}
