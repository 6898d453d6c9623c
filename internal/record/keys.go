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
	RootKey     = "l/"
	TokenKey    = "l/baton"
	BuyerKey    = "l/buyer"
	SettingsKey = "l/settings"
	NodePrefix  = "l/n/" // + label: the controllers that are alive
	JobPrefix   = "l/j/" // + job: jobs that are not over, and how the latest ended
	FinalPrefix = "l/f/" // + job: how older ones ended, for ever
	PagePrefix  = "l/p/" // + team/zone/page: placement records
	ReturnsKey  = "l/m"  // the machines about to be returned
	ImagePrefix = "l/i/" // + number: images that machines were seen to have
	// RolloutKey is the format in force; MemberPrefix + label is what the latest
	// process of each controller reads and writes.
	RolloutKey   = "l/rollout"
	MemberPrefix = "l/r/"
	// SharesKey is whether shares are in use; SharePrefix + number is who owns a share.
	SharesKey   = "l/shares"
	SharePrefix = "l/share/"
)

// LoadPrefixes are read when a controller starts. Final states under keys of their
// own are not: they are kept for ever, and read when somebody asks.
//
// The format in force is read first, since it says how to read the rest, and jobs are
// read before placement records, which speak of them.
var LoadPrefixes = []string{"l/r", "l/b", "l/i/", "l/j/", "l/m", "l/n/", "l/p/", "l/s"}

// JobKey is where a job's record stands.
func JobKey(id wire.JobID) string { return JobPrefix + string(id) }

// FinalKey is where the final state of a job that ended long ago stands.
func FinalKey(id wire.JobID) string { return FinalPrefix + string(id) }

// NodeKey is where a living controller's record stands.
func NodeKey(label string) string { return NodePrefix + label }

// MemberKey is where the record of what a controller's latest process reads stands.
func MemberKey(label string) string { return MemberPrefix + label }

// ImageKey is where the images of a shard of machines stand.
func ImageKey(shard int) string { return ImagePrefix + strconv.Itoa(shard) }

// ShareKey is where the record of a share's owner stands.
func ShareKey(id wire.ShardID) string { return SharePrefix + strconv.Itoa(int(id)) }

// PageKey is where a page of a team's placement records in a zone stands.
func PageKey(team, zone string, page int) string {
	return PagePrefix + team + "/" + zone + "/" + strconv.Itoa(page)
}

// ParsePageKey takes a placement record's key apart.
func ParsePageKey(key string) (team, zone string, page int, err error) {
	rest := strings.TrimPrefix(key, PagePrefix)
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
