package policy

const (
	// maxMeanSamples is how many requests of a class the mean is taken over.
	maxMeanSamples = 100
	// ownSizeWeight is how many samples the request's own size counts as, so that a class
	// isn't judged by its first few requests.
	ownSizeWeight = 10
	// maxSampleRatio bounds one sample as a multiple of the mean, so that a few requests that
	// claim an enormous size don't cause all others to be refused.
	maxSampleRatio = 4.0
	// maxSizedClasses bounds the classes that are remembered. When it is exceeded, all are
	// dropped: names of classes that no longer exist would otherwise accumulate.
	maxSizedClasses = 1024
)

// ClassSizes tracks the mean size of each class's requests, in tokens, over all that were
// offered, admitted or not.
//
// Admission judges a request by this mean instead of its own size. A server under load is
// filled up to the target with whatever still fits: judged by their own size, short prompts
// would keep taking the little time that is left, and long ones would find enough of it only
// at a server that is nearly idle.
//
// The zero value is ready to use. Not safe for concurrent use.
type ClassSizes struct {
	classes map[string]meanSize
}

// meanSize is an average over the newest samples.
type meanSize struct {
	mean    float64
	samples float64
}

// Observe adds the size, in tokens, of a request that was offered.
func (s *ClassSizes) Observe(class string, size int) {
	m, known := s.classes[class]
	if s.classes == nil || !known && len(s.classes) >= maxSizedClasses {
		s.classes = map[string]meanSize{}
	}
	sample := float64(size)
	if known {
		sample = min(sample, maxSampleRatio*m.mean)
	}
	m.samples = min(m.samples+1, maxMeanSamples)
	m.mean += (sample - m.mean) / m.samples
	s.classes[class] = m
}

// Mean returns the size, in tokens, by which a request of a class is judged; own is the
// request's own size.
func (s *ClassSizes) Mean(class string, own int) float64 {
	m := s.classes[class]
	return (m.samples*m.mean + ownSizeWeight*float64(own)) / (m.samples + ownSizeWeight)
}
