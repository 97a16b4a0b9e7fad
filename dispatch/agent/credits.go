package agent

// balance grants free slots to the linked entries: first to those with waiting
// tasks, then evenly, so that an entry can start a task at once when one comes.
// When an entry wants slots and none is free, idle credits of another are asked
// back.
func (a *Agent) balance() {
	if a.leaving {
		return
	}
	up := a.linked()
	if len(up) == 0 {
		return
	}
	free := a.free()
	for progress := true; free > 0 && progress; {
		progress = false
		for _, p := range up {
			if free > 0 && p.want > 0 {
				a.grant(p)
				p.want--
				free--
				progress = true
			}
		}
	}
	for free > 0 {
		a.grant(poorest(up))
		free--
	}
	a.recall(up)
}

func (a *Agent) linked() []*peer {
	var up []*peer
	for _, p := range a.peers {
		if p.session.IsUp() && !p.leaving {
			up = append(up, p)
		}
	}
	return up
}

func (a *Agent) grant(p *peer) {
	p.credits++
	p.out.Granted++
	p.dirty = true
}

func poorest(up []*peer) *peer {
	best := up[0]
	for _, p := range up[1:] {
		if p.credits < best.credits {
			best = p
		}
	}
	return best
}

func (a *Agent) recall(up []*peer) {
	wanted := 0
	for _, p := range up {
		wanted += p.want
	}
	for _, p := range up {
		if wanted == 0 || p.want > 0 || p.credits == 0 || p.recalled {
			continue
		}
		n := min(wanted, p.credits)
		p.out.Recall = uint32(n)
		p.recalled = true
		p.dirty = true
		wanted -= n
	}
}
