package record

import (
	"fmt"
	"strconv"
	"strings"

	"lilacrill/wire"
)

// Keys in the state service. Everything lives under one root, so that one feed
// carries all of it.
const (
	RootKey          = "l/"
	TokenKey         = "l/baton"
	ProvisionerKey   = "l/buyer"
	SettingsKey      = "l/settings"
	LivenessPrefix   = "l/n/" // + label: the controllers that are alive
	JobPrefix        = "l/j/" // + job: jobs that are not over, and how the latest ended
	CompletionPrefix = "l/f/" // + job: how older ones ended, for ever
	PlacementPrefix  = "l/p/" // + team/zone/page: placement records
	TerminationsKey  = "l/m"  // the machines about to be returned
	ImagePrefix      = "l/i/" // + number: images that machines were seen to have
	// RolloutKey is the format in force; RegistrationPrefix + label is what the latest
	// process of each controller reads and writes.
	RolloutKey         = "l/rollout"
	RegistrationPrefix = "l/r/"
	// ShardPolicyKey is whether shares are in use; ShardPrefix + number is who owns a share.
	ShardPolicyKey = "l/shares"
	ShardPrefix    = "l/share/"
)

// LoadPrefixes are read when a controller starts. Final states under keys of their
// own are not: they are kept for ever, and read when somebody asks.
//
// The format in force is read first, since it says how to read the rest, and jobs are
// read before placement records, which speak of them.
var LoadPrefixes = []string{"l/r", "l/b", "l/i/", "l/j/", "l/m", "l/n/", "l/p/", "l/s"}

// JobKey is where a job's record stands.
func JobKey(id wire.JobID) string { return JobPrefix + string(id) }

// CompletionKey is where the final state of a job that ended long ago stands.
func CompletionKey(id wire.JobID) string { return CompletionPrefix + string(id) }

// LivenessKey is where a living controller's record stands.
func LivenessKey(label string) string { return LivenessPrefix + label }

// RegistrationKey is where the record of what a controller's latest process reads stands.
func RegistrationKey(label string) string { return RegistrationPrefix + label }

// ImageKey is where the images of a shard of machines stand.
func ImageKey(shard int) string { return ImagePrefix + strconv.Itoa(shard) }

// ShardKey is where the record of a share's owner stands.
func ShardKey(id wire.ShardID) string { return ShardPrefix + strconv.Itoa(int(id)) }

// PlacementKey is where a page of a team's placement records in a zone stands.
func PlacementKey(team, zone string, page int) string {
	return PlacementPrefix + team + "/" + zone + "/" + strconv.Itoa(page)
}

// ParsePlacementKey takes a placement record's key apart.
func ParsePlacementKey(key string) (team, zone string, page int, err error) {
	rest := strings.TrimPrefix(key, PlacementPrefix)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", "", 0, fmt.Errorf("placement record %q: bad key", key)
	}
	if page, err = strconv.Atoi(rest[i+1:]); err != nil {
		return "", "", 0, fmt.Errorf("placement record %q: bad page", key)
	}
	rest = rest[:i]
	i = strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", "", 0, fmt.Errorf("placement record %q: bad key", key)
	}
	return rest[:i], rest[i+1:], page, nil
}
