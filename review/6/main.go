// Case 6: a call server hangs through a shutdown. See claim.txt.
package main

import (
	"os"

	peers "larkrouter/review/peers-2"
)

func main() { os.Exit(peers.Main("stop")) }
