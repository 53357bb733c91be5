package entry

import "slices"

// knownModels are the models that exist as far as this process knows. A class
// may name one that doesn't, by a slip of an operator's: an engine that is
// ordered to load it would be drained for nothing. Only the duties' goroutine
// uses it.
type knownModels struct{ names map[string]bool }

// note adds names that the VM list has or an agent serves.
func (k *knownModels) add(names ...string) {
	if k.names == nil {
		k.names = make(map[string]bool)
	}
	for _, name := range names {
		k.names[name] = true
	}
}

// only returns those of the models that are known.
func (k *knownModels) filter(models []string) []string {
	return slices.DeleteFunc(slices.Clone(models), func(m string) bool { return !k.names[m] })
}
