package plain

import "github.com/applepier/applepier/testbed/recordfile"

// Open returns a service that also appends each call to a record file, before
// it sends the response. The caller must call Close.
func Open(path string) (*Server, error) {
	file, err := recordfile.Open(path)
	if err != nil {
		return nil, err
	}
	s := New()
	s.file = file
	return s, nil
}

// Close closes the record file, if any.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	file := s.file
	s.file = nil
	return file.Close()
}

// ReadRecordFile returns the calls recorded in a file, oldest first.
func ReadRecordFile(path string) ([]Call, error) { return recordfile.Read[Call](path) }
