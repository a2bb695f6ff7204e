package subset

// FNV-1a, 64 bits. The choice must be the same in every process and every version, so
// the seeded hashes of the standard library do not serve.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func hash(name string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return mix(h)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64): names that differ in
// one digit would else have scores in nearly the same order.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
