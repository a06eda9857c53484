package mesh

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/quorum"
)

// joiner is a control host that requests to become a member.
type joiner struct {
	host      ident.Host
	address   string
	lastHeard time.Time
}

// memberRequests holds the valid requests of control hosts about their membership.
type memberRequests struct {
	joiners []quorum.Joiner
	leavers []ident.Host
}

func (r *registry) addJoiner(record JoinRecord) {
	if old, ok := r.joiners[record.Address]; !ok || old.host != ident.Host(record.Host) {
		r.log.Info("mesh: control host requests to join", "host", record.Host, "address", record.Address)
	}
	r.joiners[record.Address] = joiner{host: ident.Host(record.Host), address: record.Address, lastHeard: r.clock.Now()}
	r.controlHosts[record.Address] = true
}

func (r *registry) addLeaver(host ident.Host) {
	if _, ok := r.leavers[host]; !ok {
		r.log.Info("mesh: control host is about to stop", "host", host)
	}
	r.leavers[host] = r.clock.Now()
}

// memberRequests returns the requests that are valid.
func (r *registry) memberRequests() memberRequests {
	var requests memberRequests
	for _, j := range r.currentJoiners() {
		requests.joiners = append(requests.joiners, quorum.NewJoiner(j.host, j.address))
	}
	for host, lastHeard := range r.leavers {
		if r.clock.Now().Sub(lastHeard) > memberRequestLifetime {
			delete(r.leavers, host)
			continue
		}
		requests.leavers = append(requests.leavers, host)
	}
	slices.Sort(requests.leavers)
	return requests
}

func (r *registry) currentJoiners() []joiner {
	var list []joiner
	for address, j := range r.joiners {
		if r.clock.Now().Sub(j.lastHeard) > memberRequestLifetime {
			delete(r.joiners, address)
			continue
		}
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b joiner) int { return cmp.Compare(a.address, b.address) })
	return list
}
