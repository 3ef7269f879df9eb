package routes

import "time"

// Peers describes the other routes of a service, seen from one of its ranks.
type Peers struct {
	MoreUrgent bool // some route is more urgent
	LessUrgent bool // some route is less urgent
	// UrgentObjective is the shortest objective of the more urgent routes; 0 if none has one.
	UrgentObjective time.Duration
	// LessUrgentObjective is the same of the less urgent routes.
	LessUrgentObjective time.Duration
}

// rankObjective is the shortest objective of a service's routes of one rank; 0: none has one.
type rankObjective struct {
	rank      int
	objective time.Duration
}

// addRank records a route's rank and objective for each service that may answer it.
func (t *Table) addRank(r *Route) {
	for _, s := range r.Split {
		list := t.ranksByService[s.Service]
		found := false
		for i := range list {
			if list[i].rank != r.Rank {
				continue
			}
			found = true
			list[i].objective = shorterObjective(list[i].objective, r.Objective)
		}
		if !found {
			list = append(list, rankObjective{r.Rank, r.Objective})
		}
		t.ranksByService[s.Service] = list
	}
}

// Peers returns what routes of other ranks a service has.
func (t *Table) Peers(service string, rank int) Peers {
	var p Peers
	for _, o := range t.ranksByService[service] {
		switch {
		case o.rank > rank:
			p.LessUrgent = true
			p.LessUrgentObjective = shorterObjective(p.LessUrgentObjective, o.objective)
		case o.rank < rank:
			p.MoreUrgent = true
			p.UrgentObjective = shorterObjective(p.UrgentObjective, o.objective)
		}
	}
	return p
}

// shorterObjective returns the shorter of two objectives, of which 0 is none.
func shorterObjective(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
