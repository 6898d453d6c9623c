// Command 5 runs case 5 of the second review.
package main

import "lilacrill/review/second"

func main() { second.Main("waits-for-headroom") }
