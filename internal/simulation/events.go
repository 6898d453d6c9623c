package simulation

import "lilacrill/internal/controller"

// event is something that happens at a time; order sets apart events of one time, so that
// a seed gives one course of events.
type event struct {
	at    controller.Time
	order int
	run   func()
}

// eventQueue is a heap of eventQueue, the next one first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].order < e[k].order
}

func (e eventQueue) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
