package state

import "cmp"

// tree is an immutable AVL tree. The methods set and remove return a new tree
// that shares all but O(log n) nodes with the old one. Copying a map instead
// would cost O(n) for each change to a member or a key.
type tree[K cmp.Ordered, V any] struct {
	root *node[K, V]
}

type node[K cmp.Ordered, V any] struct {
	key         K
	value       V
	left, right *node[K, V]
	height      int
	count       int
}

func (n *node[K, V]) depth() int {
	if n == nil {
		return 0
	}
	return n.height
}

func (n *node[K, V]) size() int {
	if n == nil {
		return 0
	}
	return n.count
}

func newNode[K cmp.Ordered, V any](key K, value V, left, right *node[K, V]) *node[K, V] {
	return &node[K, V]{
		key: key, value: value, left: left, right: right,
		height: 1 + max(left.depth(), right.depth()),
		count:  1 + left.size() + right.size(),
	}
}

// rebalance returns a balanced tree with the given root entry and subtrees,
// whose heights differ by at most two.
func rebalance[K cmp.Ordered, V any](key K, value V, left, right *node[K, V]) *node[K, V] {
	switch {
	case left.depth() > right.depth()+1:
		if left.left.depth() >= left.right.depth() {
			return newNode(left.key, left.value, left.left, newNode(key, value, left.right, right))
		}
		m := left.right
		return newNode(m.key, m.value, newNode(left.key, left.value, left.left, m.left), newNode(key, value, m.right, right))
	case right.depth() > left.depth()+1:
		if right.right.depth() >= right.left.depth() {
			return newNode(right.key, right.value, newNode(key, value, left, right.left), right.right)
		}
		m := right.left
		return newNode(m.key, m.value, newNode(key, value, left, m.left), newNode(right.key, right.value, m.right, right.right))
	}
	return newNode(key, value, left, right)
}

func (n *node[K, V]) set(key K, value V) *node[K, V] {
	if n == nil {
		return newNode(key, value, nil, nil)
	}
	switch cmp.Compare(key, n.key) {
	case -1:
		return rebalance(n.key, n.value, n.left.set(key, value), n.right)
	case 1:
		return rebalance(n.key, n.value, n.left, n.right.set(key, value))
	}
	return newNode(key, value, n.left, n.right)
}

func (n *node[K, V]) remove(key K) *node[K, V] {
	if n == nil {
		return nil
	}
	switch cmp.Compare(key, n.key) {
	case -1:
		return rebalance(n.key, n.value, n.left.remove(key), n.right)
	case 1:
		return rebalance(n.key, n.value, n.left, n.right.remove(key))
	}
	if n.right == nil {
		return n.left
	}
	next := n.right
	for next.left != nil {
		next = next.left
	}
	return rebalance(next.key, next.value, n.left, n.right.remove(next.key))
}

func (n *node[K, V]) walk(visit func(K, V) bool) bool {
	return n == nil || (n.left.walk(visit) && visit(n.key, n.value) && n.right.walk(visit))
}

func (t tree[K, V]) get(key K) (V, bool) {
	n := t.root
	for n != nil {
		switch cmp.Compare(key, n.key) {
		case -1:
			n = n.left
		case 1:
			n = n.right
		default:
			return n.value, true
		}
	}
	var zero V
	return zero, false
}

func (t tree[K, V]) set(key K, value V) tree[K, V] { return tree[K, V]{root: t.root.set(key, value)} }

func (t tree[K, V]) remove(key K) tree[K, V] {
	if _, ok := t.get(key); !ok {
		return t
	}
	return tree[K, V]{root: t.root.remove(key)}
}

func (t tree[K, V]) len() int { return t.root.size() }

// each calls visit for each entry in ascending order of the keys until visit
// returns false.
func (t tree[K, V]) each(visit func(K, V) bool) { t.root.walk(visit) }

func (t tree[K, V]) values() []V {
	out := make([]V, 0, t.len())
	t.each(func(_ K, v V) bool {
		out = append(out, v)
		return true
	})
	return out
}
