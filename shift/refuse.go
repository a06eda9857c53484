package shift

// refuse marks the load that its region or link cannot carry, lowest class
// first, under the shares that are in force now. A region's own limit comes
// first; what is refused there no longer loads the link.
func (w *world) refuse(all [][]*flow, sites [][]site) map[Key][]Refusal {
	for i, flows := range all {
		for _, f := range flows {
			f.kept = w.keepAll(f)
		}
		for r := range w.regions {
			w.refuseSite(flows, &sites[i][r], r)
		}
	}
	w.refuseLinks(all)
	out := map[Key][]Refusal{}
	for _, flows := range all {
		for _, f := range flows {
			if list := w.refusals(f.kept); len(list) > 0 {
				out[f.key] = list
			}
		}
	}
	return out
}

// keepAll returns the part of each class, per region, that is not refused.
// Regions that serve nothing of the flow have no entry.
func (w *world) keepAll(f *flow) [][]float64 {
	kept := make([][]float64, len(w.regions))
	for r, share := range f.most {
		if share == 0 {
			continue
		}
		kept[r] = make([]float64, len(w.input.classes))
		for c := range kept[r] {
			kept[r][c] = 1
		}
	}
	return kept
}

func (w *world) refuseSite(flows []*flow, at *site, r int) {
	excess := -at.limit
	for _, f := range flows {
		excess += f.most[r] * f.total
	}
	closed := at.limit <= 0
	for c := range w.input.classes {
		load := 0.0
		for _, f := range flows {
			load += f.most[r] * f.demand.slots[c]
		}
		if !closed && (excess <= leastMove || load == 0) {
			continue
		}
		part := 1.0
		if !closed {
			part = min(1, excess/load)
		}
		for _, f := range flows {
			if f.kept[r] != nil {
				f.kept[r][c] = 1 - part
			}
		}
		excess -= part * load
	}
}

// refuseLinks refuses what exceeds the budget of a link, in the same order.
// The bytes of a flow are spread over its classes as its slots are.
func (w *world) refuseLinks(all [][]*flow) {
	for origin, o := range w.origins {
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
		for r, to := range w.regions {
			if budget, ok := w.input.links[link{origin, to}]; ok && to != origin {
				w.refuseLink(flows, r, budget)
			}
		}
	}
}

func (w *world) refuseLink(flows []*flow, r int, budget float64) {
	loads := make([]float64, len(w.input.classes))
	excess := -budget
	for _, f := range flows {
		for c := range loads {
			if f.kept[r] != nil {
				loads[c] += f.bytes(r, c) * f.kept[r][c]
			}
		}
	}
	for _, v := range loads {
		excess += v
	}
	for c, load := range loads {
		if excess <= leastMove || load == 0 {
			continue
		}
		part := min(1, excess/load)
		for _, f := range flows {
			if f.kept[r] != nil {
				f.kept[r][c] *= 1 - part
			}
		}
		excess -= part * load
	}
}

// bytes returns the bytes per second that a class of the flow sends to a
// region.
func (f *flow) bytes(r, c int) float64 {
	return f.most[r] * f.demand.bytes * f.demand.slots[c] / f.total
}

func (w *world) refusals(kept [][]float64) []Refusal {
	var list []Refusal
	for c, class := range w.input.classes {
		for r, parts := range kept {
			if parts != nil && parts[c] < 1-leastMove {
				list = append(list, Refusal{region: w.regions[r], class: class, part: 1 - parts[c]})
			}
		}
	}
	return list
}
