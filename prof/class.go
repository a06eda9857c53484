package prof

import (
	"time"

	"rhubarbrack/ident"
)

// Class is a class of requests with common queueing rules.
type Class struct {
	name        ident.Class
	urgent      bool
	queueLength int
	maxWait     time.Duration
}

// ClassOption sets an attribute of a class.
type ClassOption func(*Class)

// ClassUrgent sets whether the class has strict priority over all others.
func ClassUrgent(urgent bool) ClassOption { return func(c *Class) { c.urgent = urgent } }

// ClassQueueLength bounds the number of queued requests of each team. The
// default is 100.
func ClassQueueLength(length int) ClassOption { return func(c *Class) { c.queueLength = length } }

// ClassMaxWait bounds the time that a request is queued. The default is one
// second.
func ClassMaxWait(wait time.Duration) ClassOption { return func(c *Class) { c.maxWait = wait } }

// NewClass returns a class. NewProfile validates it.
func NewClass(name ident.Class, options ...ClassOption) Class {
	c := Class{name: name, queueLength: 100, maxWait: time.Second}
	for _, o := range options {
		o(&c)
	}
	return c
}

// Name returns the name of the class.
func (c Class) Name() ident.Class { return c.name }

// Urgent reports whether the class has strict priority.
func (c Class) Urgent() bool { return c.urgent }

// QueueLength returns the maximum number of queued requests of each team.
func (c Class) QueueLength() int { return c.queueLength }

// MaxWait returns the maximum time that a request is queued.
func (c Class) MaxWait() time.Duration { return c.maxWait }

// TeamPolicy holds the settings of a profile for one team.
type TeamPolicy struct {
	team   ident.Team
	weight float64
	class  ident.Class
}

// NewTeamPolicy returns the policy for a team: its weight in fair queueing and
// the class of its requests on routes without a class. NewProfile validates
// it.
func NewTeamPolicy(team ident.Team, weight float64, class ident.Class) TeamPolicy {
	return TeamPolicy{team: team, weight: weight, class: class}
}

// Team returns the name of the team.
func (p TeamPolicy) Team() ident.Team { return p.team }

// Weight returns the weight of the team in fair queueing.
func (p TeamPolicy) Weight() float64 { return p.weight }

// Class returns the class of the team's requests on routes without a class.
func (p TeamPolicy) Class() ident.Class { return p.class }
