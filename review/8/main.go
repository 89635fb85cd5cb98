// Case 8: an answer stops short. See claim.txt.
package main

import (
	"os"

	peers "larkrouter/review/peers-2"
)

func main() { os.Exit(peers.Main("short")) }
