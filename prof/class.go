package prof

import (
	"time"

	"rhubarbrack/ident"
)

// Class is a class of requests that are queued alike.
type Class struct {
	name   ident.Class
	urgent bool
	queue  int
	wait   time.Duration
}

// ClassOption sets a part of a class.
type ClassOption func(*Class)

// ClassUrgent gives the class strict priority over all others.
func ClassUrgent(urgent bool) ClassOption { return func(c *Class) { c.urgent = urgent } }

// ClassQueue bounds the waiting requests of each team. The default is 100.
func ClassQueue(length int) ClassOption { return func(c *Class) { c.queue = length } }

// ClassWait bounds the time that a request waits. The default is one second.
func ClassWait(longest time.Duration) ClassOption { return func(c *Class) { c.wait = longest } }

// NewClass returns a class. NewProfile checks it.
func NewClass(name ident.Class, options ...ClassOption) Class {
	c := Class{name: name, queue: 100, wait: time.Second}
	for _, o := range options {
		o(&c)
	}
	return c
}

// Name returns the name of the class.
func (c Class) Name() ident.Class { return c.name }

// Urgent reports whether the class has strict priority.
func (c Class) Urgent() bool { return c.urgent }

// Queue returns the bound on the waiting requests of each team.
func (c Class) Queue() int { return c.queue }

// Wait returns the longest time that a request of the class waits.
func (c Class) Wait() time.Duration { return c.wait }

// Treatment says how the requests of one team are treated under a profile.
type Treatment struct {
	team   ident.Team
	weight float64
	class  ident.Class
}

// NewTreatment returns the treatment of a team: its weight for fair queuing
// and the class of its requests on routes that name none.
func NewTreatment(team ident.Team, weight float64, class ident.Class) Treatment {
	return Treatment{team: team, weight: weight, class: class}
}

// Team returns the name of the team.
func (t Treatment) Team() ident.Team { return t.team }

// Weight returns the weight for fair queuing.
func (t Treatment) Weight() float64 { return t.weight }

// Class returns the class of requests on routes that name none.
func (t Treatment) Class() ident.Class { return t.class }
