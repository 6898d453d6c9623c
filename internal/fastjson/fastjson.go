// Package fastjson decodes the JSON that a controller receives all the time: heartbeats, messages
// from siblings, and responses of the state store and the cloud. With encoding/json that took a
// fifth of a controller's processor time; the library used here needs a fifth of that and decodes
// alike, which the tests compare. What users and operators send is rare and stays with
// encoding/json.
package fastjson

import "github.com/goccy/go-json"

// Unmarshal decodes data into the value that v points to, by the rules of encoding/json. The value
// does not refer to data's memory.
func Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
