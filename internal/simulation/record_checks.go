package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"lilacrill/internal/record"
	"lilacrill/wire"
)

// maxRecordSize is a bound on the decompressed size of records, in bytes. Every record of a
// cluster is smaller.
const maxRecordSize = 1 << 20

// maxConditionsPerChange is the number of conditions that a transaction may have for each
// change that the limit of the state store allows.
const maxConditionsPerChange = 4

// conditionalPrefixes are the key prefixes of the records that may only be written on the
// condition that they have not changed since they were read.
var conditionalPrefixes = []string{record.PlacementPrefix, "l/j/", "l/f/", record.TerminationsKey}

// checkTransaction checks a transaction against the limits of the state store, and its
// records against the format in force. It also checks that records are written on the
// condition that they have not changed since they were read. Without that condition, two
// controllers that record completions of the same job overwrite each other's record.
func (c *Cluster) checkTransaction(txn wire.Transaction) {
	limits := c.Settings.Cluster.State
	if len(txn.Then) > limits.TxnOps || len(txn.If) > maxConditionsPerChange*limits.TxnOps {
		c.reportViolation("transaction with %d changes and %d conditions, more than the limits allow", len(txn.Then), len(txn.If))
	}
	for _, change := range txn.Then {
		c.Observed[valuesWritten]++
		c.Observed[bytesWritten] += len(change.Value)
		c.checkCondition(txn, change.Put)
		if format := c.ActiveFormat(); format < record.FormatCompressed && isCompressed(change.Value) {
			c.reportViolation("%s written in a later format than %d, which is in force", change.Put, format)
		}
		if float64(len(change.Value)) > limits.ValueKB*1024 {
			c.reportViolation("value of %d bytes under %s, more than the limit", len(change.Value), change.Put)
		}
	}
}

func (c *Cluster) checkCondition(txn wire.Transaction, key string) {
	for _, prefix := range conditionalPrefixes {
		if strings.HasPrefix(key, prefix) && !slices.ContainsFunc(txn.If, func(condition wire.Condition) bool { return condition.Key == key }) {
			c.reportViolation("%s written without a condition on it", key)
		}
	}
}

// isCompressed reports whether a record is compressed. A compressed record is a JSON string,
// any other an object.
func isCompressed(value json.RawMessage) bool { return strings.HasPrefix(string(value), `"`) }

// ActiveFormat returns the format in force according to the state store, or 0 if the record
// of the rollout is corrupted.
func (c *Cluster) ActiveFormat() wire.Format {
	value, _, ok := c.store.Get(record.RolloutKey)
	rollout := record.Rollout{Format: record.FormatPlain}
	if ok && json.Unmarshal(value, &rollout) != nil {
		return 0
	}
	return rollout.Format
}

// checkLivenessFormat checks that a committed transaction writes a liveness record only
// for a process that reads the format in force.
func (c *Cluster) checkLivenessFormat(txn wire.Transaction, formats record.FormatRange) {
	for _, change := range txn.Then {
		if strings.HasPrefix(change.Put, record.LivenessPrefix) && !formats.Contains(c.ActiveFormat()) {
			c.reportViolation("%s written by a process that does not read format %d", change.Put, c.ActiveFormat())
		}
	}
}

// checkPeerMessage checks that a message has no later format than the one in force, and that
// capacity offers and forwarded jobs are only sent in a format with sharding.
func (c *Cluster) checkPeerMessage(message *wire.PeerMessage) {
	if format := c.ActiveFormat(); message.Format > format {
		c.reportViolation("peer message from %s in format %d while %d is in force", message.From, message.Format, format)
	}
	if (message.Capacity != nil || message.ForwardedJobs != nil) && message.Format < record.FormatSharding {
		c.reportViolation("peer message from %s with a capacity offer or forwarded jobs in format %d", message.From, message.Format)
	}
}

// readRecord decodes a record of the state store into a value. It leaves the value as it was
// if the record does not exist, or if a test has corrupted it.
func (c *Cluster) readRecord(key string, into any) {
	if value, _, ok := c.store.Get(key); ok {
		_ = json.Unmarshal(value, into)
	}
}

// decodePage decodes a placement page. A page that a test has corrupted counts as empty.
func decodePage(value json.RawMessage) record.PlacementPage {
	var page record.PlacementPage
	if err := record.Decode(value, maxRecordSize, &page); err != nil {
		return record.PlacementPage{}
	}
	return page
}

// placedAttemptKey identifies an attempt of a job in placement pages.
type placedAttemptKey struct {
	job     wire.JobID
	attempt wire.Attempt
}

func (k placedAttemptKey) String() string { return fmt.Sprint(k.job, " ", k.attempt) }

// teamAttempts returns the attempts on all placement pages of the teams whose pages a
// transaction writes. It is called before the transaction is committed.
func (c *Cluster) teamAttempts(txn wire.Transaction) map[placedAttemptKey]bool {
	attempts := map[placedAttemptKey]bool{}
	for _, change := range txn.Then {
		rest, isPage := strings.CutPrefix(change.Put, record.PlacementPrefix)
		if !isPage {
			continue
		}
		team, _, _ := strings.Cut(rest, "/")
		for _, entry := range c.store.List(record.PlacementPrefix + team + "/") {
			for _, key := range pageAttempts(entry.Value) {
				attempts[key] = true
			}
		}
	}
	return attempts
}

// pageAttempts returns the attempts on a placement page.
func pageAttempts(value json.RawMessage) []placedAttemptKey {
	var attempts []placedAttemptKey
	for _, group := range decodePage(value).Groups {
		attempts = append(attempts, placedAttemptKey{group.Job, group.Attempt})
	}
	return attempts
}

// newlyPlacedMachines returns the machines of the attempts that a transaction adds to the
// pages of teams, given the attempts on these pages before the transaction.
func newlyPlacedMachines(txn wire.Transaction, before map[placedAttemptKey]bool) []wire.MachineID {
	var machines []wire.MachineID
	for _, change := range txn.Then {
		if !strings.HasPrefix(change.Put, record.PlacementPrefix) {
			continue
		}
		for _, group := range decodePage(change.Value).Groups {
			if !before[placedAttemptKey{group.Job, group.Attempt}] {
				machines = append(machines, group.Machines...)
			}
		}
	}
	return machines
}

// addsPlacements reports whether a transaction would add attempts if it were committed now.
func (c *Cluster) addsPlacements(txn wire.Transaction) bool {
	return len(newlyPlacedMachines(txn, c.teamAttempts(txn))) > 0
}

// checkPlacedJobs checks that the attempts that a transaction added belong to open jobs.
func (c *Cluster) checkPlacedJobs(txn wire.Transaction, before map[placedAttemptKey]bool) {
	for _, change := range txn.Then {
		if !strings.HasPrefix(change.Put, record.PlacementPrefix) {
			continue
		}
		for _, key := range pageAttempts(change.Value) {
			if !c.isJobOpen(key.job) && !before[key] {
				c.reportViolation("placed without an open job: %s", key)
			}
		}
	}
}

// isJobOpen reports whether a job has a record and no completion.
func (c *Cluster) isJobOpen(id wire.JobID) bool {
	value, _, ok := c.store.Get(record.JobKey(id))
	var job record.Job
	return ok && record.Decode(value, maxRecordSize, &job) == nil && job.Completion == nil
}
