package policy

const (
	// sizeSamples is over how many requests of a class the mean is taken.
	sizeSamples = 100
	// ownSamples is how many of them the request at hand counts for, so that a class is not
	// judged by its first few requests.
	ownSamples = 10
	// mostOver is how many times the mean one request counts for at most, so that a few which
	// claim an enormous size don't have all others refused.
	mostOver = 4.0
	// maxSizedClasses bounds the classes that are remembered. Beyond it all are forgotten:
	// names of classes that are gone would otherwise add up.
	maxSizedClasses = 1024
)

// ClassSizes learns the mean size of each class's requests, in tokens, over all that were
// offered, admitted or not.
//
// Admission judges a request by it in place of the request's own size. A server under load is
// filled up to the target by whatever still fits: judged by their own size, short prompts keep
// taking the little time that is left, and long ones find enough of it only at a server that
// is nearly idle.
//
// The zero value is ready. Not safe for concurrent use.
type ClassSizes struct {
	classes map[string]meanSize
}

// meanSize is a mean over the newest samples.
type meanSize struct {
	mean    float64
	samples float64
}

// Observe takes the size of a request that was offered.
func (s *ClassSizes) Observe(class string, size int) {
	m, known := s.classes[class]
	if s.classes == nil || !known && len(s.classes) >= maxSizedClasses {
		s.classes = map[string]meanSize{}
	}
	sample := float64(size)
	if known {
		sample = min(sample, mostOver*m.mean)
	}
	m.samples = min(m.samples+1, sizeSamples)
	m.mean += (sample - m.mean) / m.samples
	s.classes[class] = m
}

// Mean is the size by which a request of a class is judged that has a size of its own.
func (s *ClassSizes) Mean(class string, own int) float64 {
	m := s.classes[class]
	return (m.samples*m.mean + ownSamples*float64(own)) / (m.samples + ownSamples)
}
