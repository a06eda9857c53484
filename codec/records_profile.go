package codec

import (
	"fmt"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

func profileRecordOf(p *prof.Profile) *profileRecord {
	headroom, budget := p.Headroom(), p.RetryBudget()
	r := &profileRecord{
		Kind: string(p.Kind()), Name: p.Name(), Regions: toStrings(p.Regions()), Headroom: &headroom, Budget: &budget,
		Shift: &shiftRecord{Cap: p.ShiftCap(), Window: p.ShiftWindow().String()},
	}
	for _, c := range p.Classes() {
		queue := c.QueueLength()
		r.Classes = append(r.Classes, classRecord{Name: string(c.Name()), Urgent: c.Urgent(), Queue: &queue,
			Wait: c.MaxWait().String()})
	}
	for _, t := range p.TeamPolicies() {
		r.Teams = append(r.Teams, teamPolicyRecord{Team: string(t.Team()), Weight: t.Weight(), Class: string(t.Class())})
	}
	return r
}

func (r *profileRecord) document() (prof.Document, error) {
	options := []prof.ProfileOption{prof.WithRegions(fromStrings[ident.Region](r.Regions)...)}
	if r.Shift != nil {
		window, err := parseDuration("shift.window", r.Shift.Window, time.Minute)
		if err != nil {
			return nil, fmt.Errorf("profile: %w", err)
		}
		options = append(options, prof.WithShift(r.Shift.Cap, window))
	}
	if r.Headroom != nil {
		options = append(options, prof.WithHeadroom(*r.Headroom))
	}
	if r.Budget != nil {
		options = append(options, prof.WithRetryBudget(*r.Budget))
	}
	for i, c := range r.Classes {
		class, err := c.class(i)
		if err != nil {
			return nil, fmt.Errorf("profile: %w", err)
		}
		options = append(options, prof.WithClass(class))
	}
	for _, t := range r.Teams {
		options = append(options, prof.WithTeamPolicy(
			prof.NewTeamPolicy(ident.Team(t.Team), t.Weight, ident.Class(t.Class))))
	}
	p, err := prof.NewProfile(r.Name, options...)
	if err != nil {
		return nil, fmt.Errorf("profile: %w", err)
	}
	return p, nil
}

func (c classRecord) class(index int) (prof.Class, error) {
	options := []prof.ClassOption{prof.ClassUrgent(c.Urgent)}
	if c.Queue != nil {
		options = append(options, prof.ClassQueueLength(*c.Queue))
	}
	if c.Wait != "" {
		wait, err := parseDuration(fmt.Sprintf("classes[%d].longest-wait", index), c.Wait, 0)
		if err != nil {
			return prof.Class{}, fmt.Errorf("class: %w", err)
		}
		options = append(options, prof.ClassMaxWait(wait))
	}
	return prof.NewClass(ident.Class(c.Name), options...), nil
}

func serviceRecordOf(s *prof.Service) *serviceRecord {
	body := s.MaxBodyBytes()
	r := &serviceRecord{
		Kind: string(s.Kind()), Name: s.Name(), Profile: s.Profile(), Hosts: s.Hosts(),
		Timeout: s.Timeout().String(), Body: &body, Ramp: s.SlowStart().String(),
	}
	for _, route := range s.Routes() {
		r.Routes = append(r.Routes, routeRecord{Prefix: route.Prefix(), Methods: route.Methods(),
			Class: string(route.Class()), Open: route.Open(), Idempotent: route.Idempotent()})
	}
	return r
}

func (r *serviceRecord) document() (prof.Document, error) {
	options := []prof.ServiceOption{prof.WithHosts(r.Hosts...)}
	for _, d := range []struct {
		field, text string
		option      func(time.Duration) prof.ServiceOption
	}{
		{"request-timeout", r.Timeout, prof.WithTimeout},
		{"cold-ramp", r.Ramp, prof.WithSlowStart},
	} {
		if d.text == "" {
			continue
		}
		value, err := parseDuration(d.field, d.text, 0)
		if err != nil {
			return nil, fmt.Errorf("service: %w", err)
		}
		options = append(options, d.option(value))
	}
	if r.Body != nil {
		options = append(options, prof.WithMaxBodyBytes(*r.Body))
	}
	for _, route := range r.Routes {
		options = append(options, prof.WithRoute(prof.NewRoute(route.Prefix, route.Methods,
			prof.RouteClass(ident.Class(route.Class)), prof.RouteOpen(route.Open),
			prof.RouteIdempotent(route.Idempotent))))
	}
	s, err := prof.NewService(ident.Service(r.Name), r.Profile, options...)
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	return s, nil
}
