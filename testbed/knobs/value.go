// Package knobs holds settings of a stand-in that a test changes while the
// stand-in runs. Start reading at Value.
package knobs

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Value holds settings of type T and is safe for concurrent use. Its zero value holds
// T's zero value.
type Value[T any] struct {
	mu    sync.Mutex
	value T
}

// Get returns the settings.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.value
}

// Update changes the settings atomically. The function must not use the Value.
func (v *Value[T]) Update(change func(*T)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(&v.value)
}

// ServeHTTP returns the settings as JSON. PUT first changes those that its JSON body
// contains and leaves the others; it fails with status 400 on an unknown field.
func (v *Value[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		if err := v.decode(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	WriteJSON(w, v.Get())
}

func (v *Value[T]) decode(r *http.Request) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.value
	if err := decoder.Decode(&next); err != nil {
		return err
	}
	v.value = next
	return nil
}

// WriteJSON writes a value as a JSON response, or status 500 if it can't be encoded.
func WriteJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
