package shift

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Input is the input of Plan. Load and capacity are measured in slots, that is
// in concurrent requests.
type Input struct {
	now       time.Time
	history   *History
	classes   []ident.Class
	profiles  map[ident.Service]Profile
	capacity  map[ident.Service]map[ident.Region]float64
	placement map[Key]placement
	demand    map[Key]demand
	links     map[link]float64
	delays    map[link]time.Duration
	permitted map[ident.Service]ident.Set[ident.Region]
	drains    []Drain
}

// placement holds the latest shares of a key and, until these are in force on
// every entry host, the previous ones.
type placement struct {
	shares  Shares
	before  Shares
	inForce bool
}

// demand is the load of one key: slots by class, and bytes per second of all
// classes.
type demand struct {
	slots []float64
	bytes float64
}

func (d demand) total() float64 {
	sum := 0.0
	for _, v := range d.slots {
		sum += v
	}
	return sum
}

type link struct{ from, to ident.Region }

// NewInput returns an empty input for the time now. Classes are sorted from
// the lowest, which is refused first, to the highest. Plan reads the history
// and does not change it.
func NewInput(now time.Time, h *History, classes ...ident.Class) *Input {
	return &Input{
		now: now, history: h, classes: classes,
		profiles:  map[ident.Service]Profile{},
		capacity:  map[ident.Service]map[ident.Region]float64{},
		placement: map[Key]placement{},
		demand:    map[Key]demand{},
		links:     map[link]float64{},
		delays:    map[link]time.Duration{},
		permitted: map[ident.Service]ident.Set[ident.Region]{},
	}
}

// SetProfile sets the rules of a service. Services without one are not
// planned.
func (i *Input) SetProfile(s ident.Service, p Profile) { i.profiles[s] = p }

// SetCapacity sets the slots of the live targets of a service in a region.
func (i *Input) SetCapacity(s ident.Service, r ident.Region, slots float64) {
	if i.capacity[s] == nil {
		i.capacity[s] = map[ident.Region]float64{}
	}
	i.capacity[s][r] = slots
}

// SetShares sets the shares of a key that are in force on every entry host.
func (i *Input) SetShares(k Key, s Shares) {
	i.placement[k] = placement{shares: s, before: s, inForce: true}
}

// SetPending sets the shares of a key whose last step, from before to after,
// is not yet in force on every entry host. Plan returns no further step for it.
func (i *Input) SetPending(k Key, before, after Shares) {
	i.placement[k] = placement{shares: after, before: before}
}

// AddDemand adds load of a class to a key, and the bytes per second that the
// load would use on a link if another region served all of it.
func (i *Input) AddDemand(k Key, c ident.Class, slots, bytes float64) {
	d, ok := i.demand[k]
	if !ok {
		d.slots = make([]float64, len(i.classes))
	}
	if at := slices.Index(i.classes, c); at >= 0 {
		d.slots[at] += slots
	}
	d.bytes += bytes
	i.demand[k] = d
}

// SetLink sets the budget in bytes per second of the link from a region of
// origin to another region. Links without a budget are not limited.
func (i *Input) SetLink(from, to ident.Region, bytes float64) { i.links[link{from, to}] = bytes }

// SetDelay sets the network delay between an origin and a region. Regions with a
// smaller delay are preferred; the origin itself comes first, regions without a
// delay last.
func (i *Input) SetDelay(from, to ident.Region, d time.Duration) { i.delays[link{from, to}] = d }

// SetPermittedRegions sets the regions that may serve a service. By default, all
// regions may serve it.
func (i *Input) SetPermittedRegions(s ident.Service, regions ...ident.Region) {
	i.permitted[s] = ident.NewSet(regions...)
}

// AddDrain adds a planned drain. Load moves away before its start, as early as
// the cap requires.
func (i *Input) AddDrain(d Drain) { i.drains = append(i.drains, d) }

func (i *Input) isPermitted(s ident.Service, r ident.Region) bool {
	set, ok := i.permitted[s]
	return !ok || set.Has(r)
}

// keysByService returns the keys of each service, sorted by origin.
func (i *Input) keysByService() map[ident.Service][]Key {
	out := map[ident.Service][]Key{}
	for k := range i.placement {
		if _, ok := i.profiles[k.service]; ok {
			out[k.service] = append(out[k.service], k)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Key) int { return cmp.Compare(a.origin, b.origin) })
	}
	return out
}
