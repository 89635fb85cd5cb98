package access

import (
	"cmp"

	"github.com/tidwall/btree"
)

// defaultMaxAdoptedCalls is the limit on adopted calls if the configuration sets none.
const defaultMaxAdoptedCalls = 16384

// adoptedCalls are the standing calls that the node knows only because a caller has named them. No call server has
// mentioned them, so they may not exist, and then nothing ever ends them. Their number is therefore limited. At the
// limit the connection that has named the most calls loses its newest one, so that no connection with less than an
// equal share of the limit loses a call. All connections that have closed count as one, as otherwise a client would
// gain a share with every new connection.
type adoptedCalls struct {
	limit  int
	count  int
	byConn map[ConnID]*adoptedGroup
	bySize *btree.BTreeG[*adoptedGroup] // largest first
}

// adoptedGroup is the nonempty set of the adopted calls of one connection.
type adoptedGroup struct {
	conn  ConnID
	calls *btree.BTreeG[*callState] // newest first
}

// closedConns identifies the group of the calls whose connections have closed. No connection has this id.
const closedConns ConnID = 0

var treeOptions = btree.Options{NoLocks: true} // a single goroutine uses the trees

func newAdoptedCalls(limit int) *adoptedCalls {
	return &adoptedCalls{limit: cmp.Or(max(limit, 0), defaultMaxAdoptedCalls), byConn: map[ConnID]*adoptedGroup{},
		bySize: btree.NewBTreeGOptions(isLargerGroup, treeOptions)}
}

func isLargerGroup(a, b *adoptedGroup) bool {
	if a.calls.Len() != b.calls.Len() {
		return a.calls.Len() > b.calls.Len()
	}
	return a.conn < b.conn
}

func isNewerCall(a, b *callState) bool { return a.number > b.number }

// add adds a call that was named on the given connection.
func (a *adoptedCalls) add(call *callState, conn ConnID) {
	group := a.byConn[conn]
	if group == nil {
		group = &adoptedGroup{conn: conn, calls: btree.NewBTreeGOptions(isNewerCall, treeOptions)}
		a.byConn[conn] = group
	}
	a.bySize.Delete(group) // its place in the order changes
	group.calls.Set(call)
	a.bySize.Set(group)
	call.adoptedIn = group
	a.count++
}

// remove removes a call. It has no effect on a call that was not adopted.
func (a *adoptedCalls) remove(call *callState) {
	group := call.adoptedIn
	if group == nil {
		return
	}
	a.bySize.Delete(group)
	group.calls.Delete(call)
	call.adoptedIn = nil
	a.count--
	if group.calls.Len() == 0 {
		delete(a.byConn, group.conn)
		return
	}
	a.bySize.Set(group)
}

// moveTo moves a call to the connection that has named it last. It has no effect on a call that was not adopted.
func (a *adoptedCalls) moveTo(conn ConnID, call *callState) {
	if call.adoptedIn == nil || call.adoptedIn.conn == conn {
		return
	}
	a.remove(call)
	a.add(call, conn)
}

// connClosed moves the calls of a connection that has closed to the group of all such calls.
func (a *adoptedCalls) connClosed(conn ConnID) {
	group := a.byConn[conn]
	if group == nil {
		return
	}
	for _, call := range group.calls.Items() {
		a.moveTo(closedConns, call)
	}
}

// excessCall returns the call to give up, or nil if the calls are within the limit.
func (a *adoptedCalls) excessCall() *callState {
	if a.count <= a.limit {
		return nil
	}
	largest, _ := a.bySize.Min()
	newest, _ := largest.calls.Min()
	return newest
}
