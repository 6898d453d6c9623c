package simulation

import "lilacrill/internal/controller"

// event is a function that runs at a time of the virtual clock. Events at the same time run
// by their order, so that the seed determines the course of a run.
type event struct {
	at    controller.Time
	order int
	run   func()
}

// eventQueue is a heap of events, the earliest first.
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
