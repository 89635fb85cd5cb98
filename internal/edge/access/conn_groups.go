package access

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"
)

// connGroups is a set of members, each of which belongs to a connection from callers. Beyond the limit the connection with the most
// members gives one up, so that no connection with less than an equal share of the limit loses a member. All connections that have closed
// count as one, as otherwise a client would gain a share with every new connection; among them the one with the most members
// gives one up.
type connGroups[T any] struct {
	limit       int
	count       int
	orderNumber func(T) uint64 // members of a connection are ordered by it
	byConn      map[ConnID]*connGroup[T]
	open        *btree.BTreeG[*connGroup[T]] // of open connections, largest first
	closed      *btree.BTreeG[*connGroup[T]] // of closed connections, largest first
	closedCount int                          // members of closed connections
}

// connGroup is the nonempty set of the members of one connection.
type connGroup[T any] struct {
	conn     ConnID
	isClosed bool // the connection
	members  []T  // oldest first
}

var treeOptions = btree.Options{NoLocks: true} // a single goroutine uses the trees

func newConnGroups[T any](limit int, orderNumber func(T) uint64) connGroups[T] {
	return connGroups[T]{limit: limit, orderNumber: orderNumber, byConn: map[ConnID]*connGroup[T]{},
		open:   btree.NewBTreeGOptions(isLargerGroup[T], treeOptions),
		closed: btree.NewBTreeGOptions(isLargerGroup[T], treeOptions)}
}

func isLargerGroup[T any](a, b *connGroup[T]) bool {
	if len(a.members) != len(b.members) {
		return len(a.members) > len(b.members)
	}
	return a.conn < b.conn
}

// find returns the position of a member in its group, or where it belongs.
func (g *connGroups[T]) find(group *connGroup[T], member T) (position int, isMember bool) {
	return slices.BinarySearchFunc(group.members, g.orderNumber(member), func(other T, number uint64) int {
		return cmp.Compare(g.orderNumber(other), number)
	})
}

// unlink takes a group out of its order before it changes.
func (g *connGroups[T]) unlink(group *connGroup[T]) {
	if group.isClosed {
		g.closed.Delete(group)
		g.closedCount -= len(group.members)
		return
	}
	g.open.Delete(group)
}

// link puts a group into its order, unless it is empty.
func (g *connGroups[T]) link(group *connGroup[T]) {
	switch {
	case len(group.members) == 0:
		delete(g.byConn, group.conn)
	case group.isClosed:
		g.closed.Set(group)
		g.closedCount += len(group.members)
	default:
		g.open.Set(group)
	}
}

// add adds a member to a connection, and returns its group.
func (g *connGroups[T]) add(member T, conn ConnID, isClosed bool) *connGroup[T] {
	group := g.byConn[conn]
	if group == nil {
		group = &connGroup[T]{conn: conn, isClosed: isClosed}
		g.byConn[conn] = group
	}
	g.unlink(group)
	position, _ := g.find(group, member)
	group.members = slices.Insert(group.members, position, member)
	g.link(group)
	g.count++
	return group
}

// remove removes a member from its group.
func (g *connGroups[T]) remove(member T, group *connGroup[T]) {
	g.unlink(group)
	position, _ := g.find(group, member)
	if position == 0 {
		var none T
		group.members[0] = none
		group.members = group.members[1:]
	} else {
		group.members = slices.Delete(group.members, position, position+1)
	}
	if len(group.members) < cap(group.members)/2 {
		group.members = slices.Clone(group.members) // many groups that were large once must not keep their memory
	}
	g.link(group)
	g.count--
}

// connClosed counts the members of a connection among those of closed ones.
func (g *connGroups[T]) connClosed(conn ConnID) {
	if group := g.byConn[conn]; group != nil {
		g.unlink(group)
		group.isClosed = true
		g.link(group)
	}
}

// excess returns the group that must give up a member, or nil if the members are within the limit.
func (g *connGroups[T]) excess() *connGroup[T] {
	if g.count <= g.limit {
		return nil
	}
	largest, isOpen := g.open.Min()
	if !isOpen || g.closedCount >= len(largest.members) {
		largest, _ = g.closed.Min()
	}
	return largest
}
