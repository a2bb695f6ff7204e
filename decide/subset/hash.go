package subset

// FNV-1a with 64 bits. All processes and versions must make the same choice, which rules out the
// seeded hashes of the standard library.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Key returns the key of a name for IsChosen.
func Key(name string) uint64 { return hash(name) }

func hash(name string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return mix(h)
}

// mix is the finalizer of SplitMix64. Without it, names that differ in one digit have scores in
// nearly the same order.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
