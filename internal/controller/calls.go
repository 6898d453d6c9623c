package controller

// callTable holds the calls that were requested by outputs and have no result yet.
type callTable struct {
	pending map[CallID]pendingCall
	lastID  CallID
	// currentStartedAt is the start time of the call whose result is being handled. The result
	// shows a state at that time or later.
	currentStartedAt Time
}

// pendingCall is a call that has no result yet.
type pendingCall struct {
	startedAt Time
	complete  func(Result)
}

func (t *callTable) init() { t.pending = map[CallID]pendingCall{} }

func (t *callTable) add(pending pendingCall) CallID {
	t.lastID++
	t.pending[t.lastID] = pending
	return t.lastID
}

// complete passes a call's result to the function that was registered for it. A result of an unknown
// call is ignored.
func (t *callTable) complete(completed CallCompleted) {
	pending, ok := t.pending[completed.Call]
	if !ok {
		return
	}
	delete(t.pending, completed.Call)
	t.currentStartedAt = pending.startedAt
	pending.complete(completed.Result)
}

// registerCall registers the function that handles a call's result, and returns the ID of the call.
// Every call must get a result, if only one with the outcome Unknown.
func registerCall[R Result](c *Controller, then func(R)) CallID {
	return c.calls.add(pendingCall{c.now, func(result Result) { then(result.(R)) }})
}
