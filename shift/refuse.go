package shift

// planRefusals determines the load to refuse because its region or link cannot
// carry it, lowest class first, under the shares that are in force now. The
// limits of regions are applied first; load refused there no longer uses a link.
func (st *planState) planRefusals(all [][]*flow, states [][]regionState) map[Key][]Refusal {
	for i, flows := range all {
		for _, f := range flows {
			f.accepted = st.acceptAll(f)
		}
		for r := range st.regions {
			st.refuseAtRegion(flows, &states[i][r], r)
		}
	}
	st.refuseLinks(all)
	out := map[Key][]Refusal{}
	for _, flows := range all {
		for _, f := range flows {
			if list := st.refusals(f.accepted); len(list) > 0 {
				out[f.key] = list
			}
		}
	}
	return out
}

// acceptAll returns the accepted fraction of each class by region, initially 1.
// Regions that serve nothing of the flow have no entry.
func (st *planState) acceptAll(f *flow) [][]float64 {
	accepted := make([][]float64, len(st.regions))
	for r, share := range f.peak {
		if share == 0 {
			continue
		}
		accepted[r] = make([]float64, len(st.input.classes))
		for c := range accepted[r] {
			accepted[r][c] = 1
		}
	}
	return accepted
}

func (st *planState) refuseAtRegion(flows []*flow, at *regionState, r int) {
	excess := -at.limit
	for _, f := range flows {
		excess += f.peak[r] * f.total
	}
	closed := at.limit <= 0
	for c := range st.input.classes {
		load := 0.0
		for _, f := range flows {
			load += f.peak[r] * f.demand.slots[c]
		}
		if !closed && (excess <= minMove || load == 0) {
			continue
		}
		fraction := 1.0
		if !closed {
			fraction = min(1, excess/load)
		}
		for _, f := range flows {
			if f.accepted[r] != nil {
				f.accepted[r][c] = 1 - fraction
			}
		}
		excess -= fraction * load
	}
}

// refuseLinks refuses the load that exceeds the budget of a link, in the same
// order. The bytes of a flow are divided among its classes in proportion to
// their slots.
func (st *planState) refuseLinks(all [][]*flow) {
	for origin, o := range st.origins {
		if !o.exceeded {
			continue
		}
		var flows []*flow
		for _, list := range all {
			for _, f := range list {
				if f.key.origin == origin && f.total > 0 && f.demand.bytes > 0 {
					flows = append(flows, f)
				}
			}
		}
		for r, to := range st.regions {
			if budget, ok := st.input.links[link{origin, to}]; ok && to != origin {
				st.refuseLink(flows, r, budget)
			}
		}
	}
}

func (st *planState) refuseLink(flows []*flow, r int, budget float64) {
	loads := make([]float64, len(st.input.classes))
	excess := -budget
	for _, f := range flows {
		for c := range loads {
			if f.accepted[r] != nil {
				loads[c] += f.bytes(r, c) * f.accepted[r][c]
			}
		}
	}
	for _, v := range loads {
		excess += v
	}
	for c, load := range loads {
		if excess <= minMove || load == 0 {
			continue
		}
		fraction := min(1, excess/load)
		for _, f := range flows {
			if f.accepted[r] != nil {
				f.accepted[r][c] *= 1 - fraction
			}
		}
		excess -= fraction * load
	}
}

// bytes returns the bytes per second that a class of the flow sends to a
// region.
func (f *flow) bytes(r, c int) float64 {
	return f.peak[r] * f.demand.bytes * f.demand.slots[c] / f.total
}

func (st *planState) refusals(accepted [][]float64) []Refusal {
	var list []Refusal
	for c, class := range st.input.classes {
		for r, fractions := range accepted {
			if fractions != nil && fractions[c] < 1-minMove {
				list = append(list, Refusal{region: st.regions[r], class: class, fraction: 1 - fractions[c]})
			}
		}
	}
	return list
}
