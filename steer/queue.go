package steer

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// waiter is a queued slot request.
type waiter struct {
	request SlotRequest
	expiry  time.Time
	service *service
	team    *teamQueue
	element *list.Element
	index   int
}

// teamQueue holds the queued requests of one team in a class, oldest first.
type teamQueue struct {
	team     ident.Team
	class    *classQueue
	weight   int
	deficit  int
	requests *list.List
}

// firstFit returns the oldest request that fits. Only requests with targets to
// avoid or a suspected fingerprint can be overtaken by later ones.
func (t *teamQueue) firstFit(fits func(*waiter) bool) *waiter {
	for e := t.requests.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); fits(w) {
			return w
		}
	}
	return nil
}

// classQueue serves the teams of one class by deficit round robin. A request
// costs the greatest weight among the waiting teams, so that the heaviest team
// is served one request per round and no team waits for a burst of another.
type classQueue struct {
	name        ident.Class
	teams       map[ident.Team]*teamQueue
	activeTeams []*teamQueue
	cursor      int
	credited    bool
	maxWeight   int
	waiting     int
	// round counts the rounds of the current busy period, and idle holds the
	// teams that had queued requests in it and have none now.
	round int
	idle  map[ident.Team]idleTeam
}

// idleTeam is the deficit counter of a team without queued requests, and the
// round in which its queue became empty.
type idleTeam struct {
	deficit int
	round   int
}

func newClassQueue(name ident.Class) *classQueue {
	return &classQueue{name: name, teams: map[ident.Team]*teamQueue{}, idle: map[ident.Team]idleTeam{}}
}

// add appends a request to the queue of its team.
func (c *classQueue) add(w *waiter) {
	t, ok := c.teams[w.request.team]
	if !ok {
		t = &teamQueue{team: w.request.team, class: c, requests: list.New()}
		c.teams[w.request.team] = t
	}
	t.weight = w.request.weight
	if t.requests.Len() == 0 {
		c.activeTeams = append(c.activeTeams, t)
		c.updateMaxWeight()
		t.deficit = c.initialDeficit(t)
	} else {
		c.updateMaxWeight()
	}
	w.team, w.element = t, t.requests.PushBack(w)
	c.waiting++
}

// initialDeficit returns the deficit counter of a team whose queue becomes
// non-empty: its last value plus the quanta of the rounds in which it was idle.
// It is capped, so that together with the quantum of the first turn it covers
// one request; a team without an earlier value starts at the cap. If it started
// at 0 instead, a team with a small weight would wait several rounds for each
// request even if it sends less than its share, because it takes that many
// quanta to cover the cost of a request.
func (c *classQueue) initialDeficit(t *teamQueue) int {
	limit := c.maxWeight - t.weight
	before, ok := c.idle[t.team]
	if !ok {
		return limit
	}
	delete(c.idle, t.team)
	return min(limit, before.deficit+(c.round-before.round)*t.weight)
}

// remove removes a request from its queue.
func (c *classQueue) remove(w *waiter) {
	t := w.team
	t.requests.Remove(w.element)
	c.waiting--
	if t.requests.Len() > 0 {
		return
	}
	c.idle[t.team] = idleTeam{deficit: t.deficit, round: c.round}
	at := slices.Index(c.activeTeams, t)
	c.activeTeams = slices.Delete(c.activeTeams, at, at+1)
	if at < c.cursor {
		c.cursor--
	} else if at == c.cursor {
		c.credited = false
	}
	if c.cursor >= len(c.activeTeams) {
		c.cursor = 0
	}
	delete(c.teams, t.team)
	if len(c.activeTeams) == 0 {
		clear(c.idle)
		c.round = 0
	}
	c.updateMaxWeight()
}

func (c *classQueue) updateMaxWeight() {
	c.maxWeight = 1
	for _, t := range c.activeTeams {
		c.maxWeight = max(c.maxWeight, t.weight)
	}
}

// pick returns the next request by deficit round robin that fits, without
// removing it, or nil. A team without a request that fits gets no credit.
func (c *classQueue) pick(fits func(*waiter) bool) *waiter {
	for skipped := 0; skipped < len(c.activeTeams); {
		t := c.activeTeams[c.cursor]
		w := t.firstFit(fits)
		if w == nil {
			skipped++
			c.advance()
			continue
		}
		skipped = 0
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
	if c.cursor++; c.cursor >= len(c.activeTeams) {
		c.cursor = 0
		c.round++
	}
}

// estimateAhead estimates how many queued requests are served before a new one
// of the team.
func (c *classQueue) estimateAhead(team ident.Team, weight int) int {
	own := 0
	if t, ok := c.teams[team]; ok {
		own = t.requests.Len()
	}
	sum := own
	for _, t := range c.activeTeams {
		if t.team != team {
			sum += min(t.requests.Len(), (own+1)*t.weight/weight)
		}
	}
	return sum
}

// priorityGroup holds the classes of one priority. They are served round
// robin, one request per turn.
type priorityGroup struct {
	classes map[ident.Class]*classQueue
	order   []*classQueue
	next    int
}

func newPriorityGroup() *priorityGroup { return &priorityGroup{classes: map[ident.Class]*classQueue{}} }

func (g *priorityGroup) class(name ident.Class) *classQueue {
	c, ok := g.classes[name]
	if !ok {
		c = newClassQueue(name)
		g.classes[name] = c
		g.order = append(g.order, c)
	}
	return c
}

func (g *priorityGroup) waiting() int {
	sum := 0
	for _, c := range g.order {
		sum += c.waiting
	}
	return sum
}

func (g *priorityGroup) pick(fits func(*waiter) bool) *waiter {
	for i := range g.order {
		at := (g.next + i) % len(g.order)
		if w := g.order[at].pick(fits); w != nil {
			g.next = (at + 1) % len(g.order)
			return w
		}
	}
	return nil
}

// teamLength returns the length of the team's queue in its class.
func (g *priorityGroup) teamLength(req SlotRequest) int {
	if c, ok := g.classes[req.class.name]; ok {
		if t, ok := c.teams[req.team]; ok {
			return t.requests.Len()
		}
	}
	return 0
}

// estimateAhead estimates how many queued requests of the group are served
// before a new one.
func (g *priorityGroup) estimateAhead(req SlotRequest) int {
	own := 0
	if c, ok := g.classes[req.class.name]; ok {
		own = c.estimateAhead(req.team, req.weight)
	}
	sum := own
	for _, c := range g.order {
		if c.name != req.class.name {
			sum += min(c.waiting, own+1)
		}
	}
	return sum
}

// expiryHeap orders queued requests by the time at which they are refused.
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
