package record

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lilacrill/wire"
)

// ErrInvalidKey is the cause for which ParsePlacementKey refuses a key.
var ErrInvalidKey = errors.New("invalid placement key")

// Keys in the state store. All are under one root, so that one watch covers all of them.
const (
	RootKey          = "l/"
	TokenKey         = "l/baton"
	ProvisionerKey   = "l/buyer"
	SettingsKey      = "l/settings"
	LivenessPrefix   = "l/n/" // + label: live controllers, by their leases
	JobPrefix        = "l/j/" // + job: open jobs, and the latest completions
	CompletionPrefix = "l/f/" // + job: archived completions, kept for ever
	PlacementPrefix  = "l/p/" // + team/zone/page: placement records
	TerminationsKey  = "l/m"  // terminations of machines
	ImagePrefix      = "l/i/" // + bucket: images that machines were seen to have
	// RolloutKey is the format in force; RegistrationPrefix + label is what the latest process of
	// a controller reads and writes.
	RolloutKey         = "l/rollout"
	RegistrationPrefix = "l/r/"
	// ShardPolicyKey is whether sharding is enabled; ShardPrefix + number is who owns a shard.
	ShardPolicyKey = "l/shares"
	ShardPrefix    = "l/share/"
)

// LoadPrefixes are the keys that are read when a controller starts, in this order. Archived
// completions are not among them: they are kept for ever, and each is read when a user asks.
//
// The format in force comes first, since it says how to read the rest, and jobs come before
// placement records, which refer to them.
var LoadPrefixes = []string{"l/r", "l/b", "l/i/", "l/j/", "l/m", "l/n/", "l/p/", "l/s"}

// JobKey is the key of a job's record.
func JobKey(id wire.JobID) string { return JobPrefix + string(id) }

// CompletionKey is the key of a job's archived completion.
func CompletionKey(id wire.JobID) string { return CompletionPrefix + string(id) }

// LivenessKey is the key of a live controller's record.
func LivenessKey(label string) string { return LivenessPrefix + label }

// RegistrationKey is the key of the registration of a controller's latest process.
func RegistrationKey(label string) string { return RegistrationPrefix + label }

// ImageKey is the key of the images of a bucket of machines.
func ImageKey(bucket int) string { return ImagePrefix + strconv.Itoa(bucket) }

// ShardKey is the key of a shard's record.
func ShardKey(id wire.ShardID) string { return ShardPrefix + strconv.Itoa(int(id)) }

// PlacementKey is the key of a page of a team's placement records in a zone.
func PlacementKey(team, zone string, page int) string {
	return PlacementPrefix + team + "/" + zone + "/" + strconv.Itoa(page)
}

// ParsePlacementKey splits the key of a placement record. The name of a team may contain slashes,
// that of a zone may not. Its errors wrap ErrInvalidKey.
func ParsePlacementKey(key string) (team, zone string, page int, err error) {
	path, number, ok := cutLast(strings.TrimPrefix(key, PlacementPrefix))
	if !ok {
		return "", "", 0, fmt.Errorf("%w %q: no page", ErrInvalidKey, key)
	}
	if page, err = strconv.Atoi(number); err != nil {
		return "", "", 0, fmt.Errorf("%w %q: %w", ErrInvalidKey, key, err)
	}
	if team, zone, ok = cutLast(path); !ok {
		return "", "", 0, fmt.Errorf("%w %q: no zone", ErrInvalidKey, key)
	}
	return team, zone, page, nil
}

// cutLast splits a path at its last slash.
func cutLast(path string) (before, last string, ok bool) {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return "", "", false
	}
	return path[:i], path[i+1:], true
}
