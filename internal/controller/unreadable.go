package controller

// maxDecodedSize is the most that a record may expand to, in bytes: what a value may take or,
// where that limit was lowered since, what a transaction may.
func (c *Controller) maxDecodedSize() int { return max(c.pageLimit(), maxTxnBytes) }

// noteDecodeResult notes whether a record could be understood. One that could not, damaged or of
// a shape that is not known here, takes nothing else down: what is known of the job or the
// team from before stays as it is, and nothing new is done on that ground.
func (c *Controller) noteDecodeResult(key string, err error) {
	if err == nil {
		delete(c.cache.unreadable, key)
		return
	}
	c.log.Error("record not understood", "key", key, "err", err)
	c.cache.unreadable[key] = err
}
