package mapswitch

// PreparedByAll returns the version that all ranks have prepared and none has begun to switch to; zero
// for none. A coordinator that takes over may make it its target, and need not plan a map anew. It must
// not order any rank to prepare that version, since it does not know its map.
func PreparedByAll(ranks []Status) int64 {
	if len(ranks) == 0 || !sameEpoch(ranks) {
		return 0
	}
	version := ranks[0].Prepared
	for _, s := range ranks {
		if s.Prepared != version || s.Prepared <= s.Map || s.Armed != nil || s.Held != nil || s.Stale {
			return 0
		}
	}
	return version
}

// isTargetOutdated reports whether the target is not above a version that a rank already had. The
// rank would refuse to prepare it.
func isTargetOutdated(ranks []Status, target int64) bool {
	for _, s := range ranks {
		if target <= s.Map || s.Prepared > target || s.Armed != nil && s.Armed.Version >= target {
			return true
		}
	}
	return false
}

// nextVersion returns the version that a rank would switch to, or 0.
func nextVersion(s Status) int64 {
	if s.Armed != nil {
		return s.Armed.Version
	}
	if s.Prepared > s.Map {
		return s.Prepared
	}
	return 0
}

func sameEpoch(ranks []Status) bool {
	for _, s := range ranks {
		if s.Epoch != ranks[0].Epoch {
			return false
		}
	}
	return true
}

// earliestHold returns the rank that holds the group at the lowest pass, or -1.
func earliestHold(ranks []Status) int {
	holder := -1
	for rank, s := range ranks {
		if s.Held != nil && (holder < 0 || *s.Held < *ranks[holder].Held) {
			holder = rank
		}
	}
	return holder
}

// earliestArmed returns the arming for the lowest pass, or nil.
func earliestArmed(ranks []Status) *Arming {
	var earliest *Arming
	for _, s := range ranks {
		if s.Armed != nil && (earliest == nil || s.Armed.Step < earliest.Step) {
			earliest = s.Armed
		}
	}
	return earliest
}

func allUse(ranks []Status, version int64) bool {
	for _, s := range ranks {
		if s.Map != version {
			return false
		}
	}
	return true
}

func allPrepared(ranks []Status, version int64) bool {
	for _, s := range ranks {
		if s.Prepared != version {
			return false
		}
	}
	return true
}

func lastStep(ranks []Status) int64 {
	last := int64(0)
	for _, s := range ranks {
		last = max(last, s.Step)
	}
	return last
}
