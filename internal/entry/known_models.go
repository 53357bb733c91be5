package entry

import "slices"

// knownModels is the set of models known to exist. A class may name a model that doesn't
// exist, for example because of a typing error; ordering a backend server to load it would
// drain the backend server for nothing. It is not safe for concurrent use.
type knownModels struct{ names map[string]bool }

// add records models that the VM list names or an agent serves.
func (k *knownModels) add(names ...string) {
	if k.names == nil {
		k.names = make(map[string]bool)
	}
	for _, name := range names {
		k.names[name] = true
	}
}

// filter returns the given models that are known, in their order.
func (k *knownModels) filter(models []string) []string {
	return slices.DeleteFunc(slices.Clone(models), func(m string) bool { return !k.names[m] })
}
