// Package membership determines the size of a fleet whose nodes do not communicate with each other.
//
// A Registry runs in the list server, where each node's subscription to the server list is its lease. It is informed of
// joins, refreshes and ends, and provides the size of the fleet and the rank of each node. A SizeEstimator runs in
// each node. It receives the sizes that come with the list and decides which size the node uses. Since each node uses
// a share of what the servers can take, only a size that is too small is dangerous: all nodes together would send too
// much. A larger size is therefore adopted after GrowDelay (the first report at once), a smaller one only after
// ShrinkDelay and more slowly. While the reports alternate between larger and smaller sizes faster than that, the size in
// use does not change.
//
// Neither type reads the clock: the time is an argument.
package membership
