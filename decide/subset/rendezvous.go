package subset

// IsChosen reports whether name is among the k of names with the highest rendezvous scores for key. A
// name that comes or goes changes the choice by one name at most.
func IsChosen(key uint64, name string, names []string, k int) bool {
	own := mix(key ^ hash(name))
	higher := 0
	for _, other := range names {
		if other == name {
			continue
		}
		if score := mix(key ^ hash(other)); score > own || score == own && other < name {
			higher++
		}
	}
	return higher < k
}
