package controller

// maxDecodedSize returns the maximum size of a decompressed record, in bytes. It is the limit for a
// value, but no less than that for a transaction, because the limit for values may have been
// lowered after the record was written.
func (c *Controller) maxDecodedSize() int { return max(c.pageLimit(), maxTxnBytes) }

// noteDecodeResult records whether a record could be decoded. A record that cannot be decoded,
// because it is damaged or has an unknown structure, does not affect other records. What is known
// of its job or team from an earlier version is kept, and no new decision is based on it.
func (c *Controller) noteDecodeResult(key string, err error) {
	if err == nil {
		delete(c.cache.unreadable, key)
		return
	}
	c.log.Error("failed to decode record", "key", key, "err", err)
	c.cache.unreadable[key] = err
}
