// Package isolation decides how many of a service's servers, and which ones, are reserved
// for streams with a tight pause target, so that the prefill of long prompts doesn't stall
// them. Start reading at Planner.Plan.
//
// All gateways decide from the same observations, and therefore nearly alike, without
// messages of their own. The package has no network access and no clock.
package isolation
