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
	l := w.TeamFIFOs.At(fifoRow)
	r.State = quetzalfleet.RequestQueued
	r.FIFO = fifoRow
	linkRequest(w, l, row, front)
	q := w.Queues.At(r.Queue)
	q.Queued++
	w.Teams.At(r.Team).Queued++
	if l.Length == 1 {
		l.RemainingTurns = w.Teams.At(r.Team).Weight
		q.Lanes[key.Lane] = append(q.Lanes[key.Lane], fifoRow)
	}
	w.DirtyPools.Add(q.Pool)
}

func linkRequest(w *quetzalfleet.World, l *quetzalfleet.TeamFIFO, row quetzalfleet.Row, front bool) {
	r := w.Requests.At(row)
	l.Length++
	switch {
	case l.Head == 0:
		l.Head, l.Tail = row, row
	case front:
		r.Next = l.Head
		w.Requests.At(l.Head).Prev = row
		l.Head = row
	default:
		r.Prev = l.Tail
		w.Requests.At(l.Tail).Next = row
		l.Tail = row
	}
}

// unlinkRequest removes a queued request from its FIFO.
func unlinkRequest(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	l := w.TeamFIFOs.At(r.FIFO)
	if prev := w.Requests.At(r.Prev); prev != nil {
		prev.Next = r.Next
	} else {
		l.Head = r.Next
	}
	if next := w.Requests.At(r.Next); next != nil {
		next.Prev = r.Prev
	} else {
		l.Tail = r.Prev
	}
	l.Length--
	q := w.Queues.At(r.Queue)
	q.Queued--
	w.Teams.At(r.Team).Queued--
	if l.Length == 0 {
		fifos := q.Lanes[l.Lane]
		i := slices.Index(fifos, r.FIFO)
		q.Lanes[l.Lane] = slices.Delete(fifos, i, i+1)
	}
	r.Prev, r.Next, r.FIFO = 0, 0, 0
}

// advanceRoundRobin applies weighted round robin between the teams of a lane. It counts a
// request that is about to start and, once the team at the head of the lane has used
// its turns, moves the team to the back. A team's weight is its turns per round.
func advanceRoundRobin(w *quetzalfleet.World, queueRow, fifoRow quetzalfleet.Row) {
	l := w.TeamFIFOs.At(fifoRow)
	q := w.Queues.At(queueRow)
	l.RemainingTurns--
	fifos := q.Lanes[l.Lane]
	if l.RemainingTurns > 0 || len(fifos) < 2 || fifos[0] != fifoRow {
		return
	}
	l.RemainingTurns = max(1, w.Teams.At(l.Team).Weight)
	copy(fifos, fifos[1:])
	fifos[len(fifos)-1] = fifoRow
}
