// Package release holds the version of this release.
package release

// Version is the version of this release.
const Version = "0.3.0"
