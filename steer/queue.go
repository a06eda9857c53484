package steer

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// waiter is an ask that waits for a slot.
type waiter struct {
	ask     SlotRequest
	expiry  time.Time
	service *service
	team    *teamQueue
	element *list.Element
	index   int
}

// teamQueue holds the waiting asks of one team in a class, oldest first.
type teamQueue struct {
	team    ident.Team
	class   *classQueue
	weight  int
	deficit int
	asks    *list.List
}

// firstFit returns the oldest ask that fits. Only asks with targets to avoid
// or a suspected fingerprint can be passed over.
func (t *teamQueue) firstFit(fits func(*waiter) bool) *waiter {
	for e := t.asks.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); fits(w) {
			return w
		}
	}
	return nil
}

// classQueue serves the teams of one class by deficit round robin. An ask
// costs the greatest weight among the waiting teams, so that a turn of the
// heaviest team is one ask and no team waits for a burst of another.
type classQueue struct {
	name      ident.Class
	teams     map[ident.Team]*teamQueue
	ring      []*teamQueue
	cursor    int
	credited  bool
	maxWeight int
	waiting   int
	// round counts the rounds of the current busy period, and idle holds the
	// teams that have waited in it and do not now.
	round int
	idle  map[ident.Team]idleTeam
}

// idleTeam is the credit of a team and the round in which it stopped waiting.
type idleTeam struct {
	deficit int
	round   int
}

func newClassQueue(name ident.Class) *classQueue {
	return &classQueue{name: name, teams: map[ident.Team]*teamQueue{}, idle: map[ident.Team]idleTeam{}}
}

// add appends an ask to the queue of its team.
func (c *classQueue) add(w *waiter) {
	t, ok := c.teams[w.ask.team]
	if !ok {
		t = &teamQueue{team: w.ask.team, class: c, asks: list.New()}
		c.teams[w.ask.team] = t
	}
	t.weight = w.ask.weight
	if t.asks.Len() == 0 {
		c.ring = append(c.ring, t)
		c.measure()
		t.deficit = c.saved(t)
	} else {
		c.measure()
	}
	w.team, w.element = t, t.asks.PushBack(w)
	c.waiting++
}

// saved returns the credit with which a team starts to wait: what it had left
// and what it did not use while others waited. Together with its first turn
// it pays for one ask at most. Without it, a team that sends less than its
// share would wait for many rounds with each ask, because a light weight pays
// for an ask only in several rounds.
func (c *classQueue) saved(t *teamQueue) int {
	most := c.maxWeight - t.weight
	left, ok := c.idle[t.team]
	if !ok {
		return most
	}
	delete(c.idle, t.team)
	return min(most, left.deficit+(c.round-left.round)*t.weight)
}

// remove takes an ask out of its queue.
func (c *classQueue) remove(w *waiter) {
	t := w.team
	t.asks.Remove(w.element)
	c.waiting--
	if t.asks.Len() > 0 {
		return
	}
	c.idle[t.team] = idleTeam{deficit: t.deficit, round: c.round}
	at := slices.Index(c.ring, t)
	c.ring = slices.Delete(c.ring, at, at+1)
	if at < c.cursor {
		c.cursor--
	} else if at == c.cursor {
		c.credited = false
	}
	if c.cursor >= len(c.ring) {
		c.cursor = 0
	}
	delete(c.teams, t.team)
	if len(c.ring) == 0 {
		clear(c.idle)
		c.round = 0
	}
	c.measure()
}

func (c *classQueue) measure() {
	c.maxWeight = 1
	for _, t := range c.ring {
		c.maxWeight = max(c.maxWeight, t.weight)
	}
}

// pick returns the next ask by deficit round robin that fits, without
// removing it, or nil. A team none of whose asks fits gets no credit.
func (c *classQueue) pick(fits func(*waiter) bool) *waiter {
	for passed := 0; passed < len(c.ring); {
		t := c.ring[c.cursor]
		w := t.firstFit(fits)
		if w == nil {
			passed++
			c.advance()
			continue
		}
		passed = 0
		if !c.credited {
			t.deficit = min(t.deficit+t.weight, 2*c.maxWeight)
			c.credited = true
		}
		if t.deficit >= c.maxWeight {
			t.deficit -= c.maxWeight
			return w
		}
		c.advance()
	}
	return nil
}

func (c *classQueue) advance() {
	c.credited = false
	if c.cursor++; c.cursor >= len(c.ring) {
		c.cursor = 0
		c.round++
	}
}

// ahead estimates how many asks are served before a new one of the team.
func (c *classQueue) ahead(team ident.Team, weight int) int {
	own := 0
	if t, ok := c.teams[team]; ok {
		own = t.asks.Len()
	}
	sum := own
	for _, t := range c.ring {
		if t.team != team {
			sum += min(t.asks.Len(), (own+1)*t.weight/weight)
		}
	}
	return sum
}

// group holds the classes of one priority. They take turns of one ask each.
type group struct {
	classes map[ident.Class]*classQueue
	order   []*classQueue
	next    int
}

func newGroup() *group { return &group{classes: map[ident.Class]*classQueue{}} }

func (g *group) class(name ident.Class) *classQueue {
	c, ok := g.classes[name]
	if !ok {
		c = newClassQueue(name)
		g.classes[name] = c
		g.order = append(g.order, c)
	}
	return c
}

func (g *group) waiting() int {
	sum := 0
	for _, c := range g.order {
		sum += c.waiting
	}
	return sum
}

func (g *group) pick(fits func(*waiter) bool) *waiter {
	for i := range g.order {
		at := (g.next + i) % len(g.order)
		if w := g.order[at].pick(fits); w != nil {
			g.next = (at + 1) % len(g.order)
			return w
		}
	}
	return nil
}

// length returns how many asks of the team wait in its class.
func (g *group) length(a SlotRequest) int {
	if c, ok := g.classes[a.class.name]; ok {
		if t, ok := c.teams[a.team]; ok {
			return t.asks.Len()
		}
	}
	return 0
}

// ahead estimates how many asks of the group are served before a new one.
func (g *group) ahead(a SlotRequest) int {
	own := 0
	if c, ok := g.classes[a.class.name]; ok {
		own = c.ahead(a.team, a.weight)
	}
	sum := own
	for _, c := range g.order {
		if c.name != a.class.name {
			sum += min(c.waiting, own+1)
		}
	}
	return sum
}

// expiryHeap orders waiting asks by the time at which they are refused.
type expiryHeap []*waiter

var _ heap.Interface = (*expiryHeap)(nil)

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
