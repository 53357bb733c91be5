package targets

import (
	"cmp"
	"slices"
)

// Clone returns a copy of s that the caller may modify.
func (s *Set) Clone() *Set {
	return &Set{
		Version:   s.Version,
		Classes:   slices.Clone(s.Classes),
		Customers: slices.Clone(s.Customers),
	}
}

// Sort sorts classes and customers by name.
func (s *Set) Sort() {
	slices.SortStableFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
}

// Customer returns the customer with the given name, and false if there is none.
func (s *Set) Customer(name string) (Customer, bool) {
	for _, c := range s.Customers {
		if c.Name == name {
			return c, true
		}
	}
	return Customer{}, false
}

// PutClass adds the class or replaces the one with the same name. Call it only
// on a Clone that is not published yet.
func (s *Set) PutClass(class Class) {
	s.Classes = slices.DeleteFunc(s.Classes, func(c Class) bool { return c.Name == class.Name })
	s.Classes = append(s.Classes, class)
	s.Sort()
}

// PutCustomer adds the customer or replaces the one with the same name. Call it
// only on a Clone that is not published yet.
func (s *Set) PutCustomer(customer Customer) {
	s.RemoveCustomer(customer.Name)
	s.Customers = append(s.Customers, customer)
	s.Sort()
}

// RemoveCustomer removes the customer with the given name and reports whether
// it existed. Call it only on a Clone that is not published yet.
func (s *Set) RemoveCustomer(name string) bool {
	oldCount := len(s.Customers)
	s.Customers = slices.DeleteFunc(s.Customers, func(c Customer) bool { return c.Name == name })
	return len(s.Customers) < oldCount
}
