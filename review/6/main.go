// Command 6 runs case 6 of the second review.
package main

import "lilacrill/review/second"

func main() { second.Main("waits-for-accelerators") }
