package plain

import "github.com/applepier/applepier/testbed/recordfile"

// Open returns a service that also appends its record to a file. Each entry is
// written before its call is answered.
func Open(path string) (*Server, error) {
	file, err := recordfile.Open(path)
	if err != nil {
		return nil, err
	}
	s := New()
	s.file = file
	return s, nil
}

// Close closes the record file, if there is one.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	file := s.file
	s.file = nil
	return file.Close()
}

// ReadRecordFile reads back the calls that took effect, oldest first.
func ReadRecordFile(path string) ([]Call, error) { return recordfile.Read[Call](path) }
