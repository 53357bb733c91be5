package admin

import "time"

// heardWithin is how recently a process must have been heard from to count as
// such. Connected processes are heard from far more often; 10 seconds leave
// time to name a silent one within the 14 seconds of a change.
const heardWithin = 10 * time.Second

// Fleet is what this process knows of all processes, itself included.
type Fleet interface {
	// Processes lists entries and agents, those never heard from included.
	Processes() []Process
	// Engines lists the backend servers behind the agents.
	Engines() []Engine
}

// Process is what is known of one process.
type Process struct {
	// Name is its VM's name.
	Name string
	// Zone is its availability zone.
	Zone string
	// Role is "entry" or "agent".
	Role string
	// Version is that of the targets it last said to have in force.
	Version uint64
	// Heard says that it was ever heard from; Age is how long ago that was.
	Heard bool
	Age   time.Duration
	// Leaving processes take no new work.
	Leaving bool
}

// heard reports whether the process was heard from recently.
func (p Process) heard() bool {
	return p.Heard && p.Age <= heardWithin
}

// Engine is what is known of one backend server.
type Engine struct {
	// VM is the name of its VM and Zone its availability zone.
	VM   string
	Zone string
	// Serves is its model or plain service.
	Serves string
	// Running and Waiting count runs and tickets; Limit is how many may run.
	Running int
	Waiting int
	Limit   int
	// Leaving says that its agent takes no new work, Down that the agent
	// can't reach it.
	Leaving bool
	Down    bool
	// Heard says that its agent was ever heard from; Age is how long ago.
	Heard bool
	Age   time.Duration
}
