package controller

// callTable is the calls that outputs have asked for and whose results have not come back.
type callTable struct {
	pending map[CallID]pendingCall
	last    CallID
	// currentStartedAt is when the call was made whose result is being handled: what the result
	// shows was so at that moment or later.
	currentStartedAt Time
}

// pendingCall is a call without a result yet.
type pendingCall struct {
	startedAt Time
	complete  func(Result)
}

func (t *callTable) init() { t.pending = map[CallID]pendingCall{} }

func (t *callTable) add(pending pendingCall) CallID {
	t.last++
	t.pending[t.last] = pending
	return t.last
}

// complete hands a call's result to whoever made the call.
func (t *callTable) complete(completed CallCompleted) {
	pending, ok := t.pending[completed.Call]
	if !ok {
		return
	}
	delete(t.pending, completed.Call)
	t.currentStartedAt = pending.startedAt
	pending.complete(completed.Result)
}

// call registers what to do with a call's result, and returns the ID under which the result
// comes back. Every call must come back, if only as Unknown.
func call[R Result](c *Controller, then func(R)) CallID {
	return c.calls.add(pendingCall{c.now, func(result Result) { then(result.(R)) }})
}
