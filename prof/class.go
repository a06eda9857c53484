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

// ClassQueueLength bounds the waiting requests of each team. The default is 100.
func ClassQueueLength(length int) ClassOption { return func(c *Class) { c.queue = length } }

// ClassMaxWait bounds the time that a request waits. The default is one second.
func ClassMaxWait(longest time.Duration) ClassOption { return func(c *Class) { c.wait = longest } }

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

// QueueLength returns the bound on the waiting requests of each team.
func (c Class) QueueLength() int { return c.queue }

// MaxWait returns the longest time that a request of the class waits.
func (c Class) MaxWait() time.Duration { return c.wait }

// TeamPolicy says how the requests of one team are treated under a profile.
type TeamPolicy struct {
	team   ident.Team
	weight float64
	class  ident.Class
}

// NewTeamPolicy returns the treatment of a team: its weight for fair queuing
// and the class of its requests on routes that name none.
func NewTeamPolicy(team ident.Team, weight float64, class ident.Class) TeamPolicy {
	return TeamPolicy{team: team, weight: weight, class: class}
}

// Team returns the name of the team.
func (t TeamPolicy) Team() ident.Team { return t.team }

// Weight returns the weight for fair queuing.
func (t TeamPolicy) Weight() float64 { return t.weight }

// Class returns the class of requests on routes that name none.
func (t TeamPolicy) Class() ident.Class { return t.class }
