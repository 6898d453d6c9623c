package record

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lilacrill/wire"
)

// ErrInvalidKey is wrapped by the errors of ParsePlacementKey.
var ErrInvalidKey = errors.New("invalid placement key")

// Keys in the state store. All share one prefix, so that a single watch covers all of them. The
// comments state what is appended to a prefix.
const (
	RootPrefix       = "l/"
	FencingTokenKey  = "l/baton"
	ProvisionerKey   = "l/buyer"
	SettingsKey      = "l/settings"
	LivenessPrefix   = "l/n/" // + label: liveness records of controllers, attached to their leases
	JobPrefix        = "l/j/" // + job: jobs that are not completed, and the latest completions
	CompletionPrefix = "l/f/" // + job: archived completions, kept forever
	PlacementPrefix  = "l/p/" // + team/zone/page: placement records
	TerminationsKey  = "l/m"  // machine terminations under way
	ImagePrefix      = "l/i/" // + bucket: images cached on machines
	// RolloutKey is the key of the format in force. RegistrationPrefix + label is the key of the
	// registration of a controller's latest process.
	RolloutKey         = "l/rollout"
	RegistrationPrefix = "l/r/"
	// ShardPolicyKey is the key of the record that states whether sharding is enabled. ShardPrefix +
	// number is the key of the record of a shard.
	ShardPolicyKey = "l/shares"
	ShardPrefix    = "l/share/"
)

// LoadPrefixes lists the prefixes of the keys that a controller reads when it starts, in this order.
// Archived completions are not loaded, because they are kept forever. Each is read when a user
// requests it.
//
// The format in force comes first, because it determines whether this process can read the other
// records. Jobs come before placement records, which refer to them.
var LoadPrefixes = []string{"l/r", "l/b", "l/i/", "l/j/", "l/m", "l/n/", "l/p/", "l/s"}

// JobKey returns the key of the record of a job.
func JobKey(id wire.JobID) string { return JobPrefix + string(id) }

// CompletionKey returns the key of the archived completion of a job.
func CompletionKey(id wire.JobID) string { return CompletionPrefix + string(id) }

// LivenessKey returns the key of the liveness record of a controller.
func LivenessKey(label string) string { return LivenessPrefix + label }

// RegistrationKey returns the key of the registration of a controller's latest process.
func RegistrationKey(label string) string { return RegistrationPrefix + label }

// ImageKey returns the key of the images on the machines of a bucket.
func ImageKey(bucket int) string { return ImagePrefix + strconv.Itoa(bucket) }

// ShardKey returns the key of the record of a shard.
func ShardKey(id wire.ShardID) string { return ShardPrefix + strconv.Itoa(int(id)) }

// PlacementKey returns the key of a placement page of a team in a zone.
func PlacementKey(team, zone string, page int) string {
	return PlacementPrefix + team + "/" + zone + "/" + strconv.Itoa(page)
}

// ParsePlacementKey splits the key of a placement record into its parts. The name of a team may
// contain slashes, the name of a zone may not. The returned errors wrap ErrInvalidKey.
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
