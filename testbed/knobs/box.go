// Package knobs holds the settings of a stand-in that a test changes while it
// runs. Start reading at Box.
package knobs

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Box holds one value of settings. Its zero value holds T's zero value.
type Box[T any] struct {
	mu    sync.Mutex
	value T
}

// Get returns the settings.
func (b *Box[T]) Get() T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value
}

// Update changes the settings in one step.
func (b *Box[T]) Update(change func(*T)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.value)
}

// ServeHTTP answers GET with the settings. PUT changes those that its JSON
// body names, leaves the others, and answers with the result.
func (b *Box[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		if err := b.decode(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	WriteJSON(w, b.Get())
}

func (b *Box[T]) decode(r *http.Request) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.value
	if err := decoder.Decode(&next); err != nil {
		return err
	}
	b.value = next
	return nil
}

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
