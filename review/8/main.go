// Case 8: a call server refuses connections. See claim.txt.
package main

import (
	"os"

	peers "larkrouter/review/peers-2"
)

func main() { os.Exit(peers.Main("full")) }
