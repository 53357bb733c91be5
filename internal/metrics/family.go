package metrics

// family is a metric's name; its series differ in their labels.
type family string

// The families that a process serves.
const (
	familyReceived         family = "applepier_requests_received_total"
	familyFinished         family = "applepier_requests_finished_total"
	familyRefused          family = "applepier_requests_refused_total"
	familyReceivedTokens   family = "applepier_received_prompt_tokens_total"
	familyRefusedTokens    family = "applepier_refused_prompt_tokens_total"
	familyUnknown          family = "applepier_requests_unknown_total"
	familyFailed           family = "applepier_requests_failed_total"
	familyCancelled        family = "applepier_requests_cancelled_total"
	familyRetried          family = "applepier_requests_retried_total"
	familyWasted           family = "applepier_wasted_tokens_total"
	familyFirstToken       family = "applepier_first_token_seconds"
	familyPause            family = "applepier_event_pause_seconds"
	familyGoodputRequests  family = "applepier_goodput_requests_total"
	familyGoodputTokens    family = "applepier_goodput_tokens_total"
	familyWaiting          family = "applepier_waiting"
	familyRunning          family = "applepier_running"
	familyLimit            family = "applepier_running_limit"
	familyControlMessages  family = "applepier_control_messages_total"
	familyControlBytes     family = "applepier_control_bytes_total"
	familyPlatformCalls    family = "applepier_platform_calls_total"
	familyPlatformFailures family = "applepier_platform_failures_total"
	familyStoreAsked       family = "applepier_store_asked_total"
	familyStoreRestored    family = "applepier_store_restored_total"
	familyStoreAsking      family = "applepier_store_asking"
	familyTargetsVersion   family = "applepier_targets_version"
	familyProofAge         family = "applepier_targets_proof_age_milliseconds"
	familyGateways         family = "applepier_gateways"
	familyServers          family = "applepier_backend_servers"
	familyServersEnded     family = "applepier_backend_servers_ended_total"
	familyServersLimited   family = "applepier_backend_servers_limited"
	familyLimitedSends     family = "applepier_limited_sends_total"
	familyQuarantined      family = "applepier_requests_quarantined"
	familyUsageGeneration  family = "applepier_usage_generation"
	familyUsageReported    family = "applepier_usage_reports_total"
	familyUsageLate        family = "applepier_usage_reports_late_total"
	familyUsageRefused     family = "applepier_usage_reports_failed_total"
	familyUsageAfter       family = "applepier_usage_report_after_milliseconds"
	familyLinesDropped     family = "applepier_log_lines_dropped_total"
	familyCPU              family = "applepier_process_cpu_seconds_total"
	familyMemory           family = "applepier_process_memory_bytes"
	familyGoroutines       family = "applepier_process_goroutines"
)

// help is what a collector shows beside a family.
var help = map[family]string{
	familyReceived:         "Requests taken from callers.",
	familyFinished:         "Requests answered whole, on time or late.",
	familyRefused:          "Requests rejected and certainly not run.",
	familyReceivedTokens:   "Tokens in the prompts of requests taken from callers.",
	familyRefusedTokens:    "Tokens in the prompts of requests rejected and certainly not run.",
	familyUnknown:          "Requests whose caller was told that they may have run.",
	familyFailed:           "Requests that ended with another error.",
	familyCancelled:        "Requests whose caller went away.",
	familyRetried:          "Further attempts at requests.",
	familyWasted:           "Tokens generated that reached no caller as part of a whole answer.",
	familyFirstToken:       "Time from a request's arrival to its first token.",
	familyPause:            "Longest pause between two events of a stream.",
	familyGoodputRequests:  "Requests answered whole and on time.",
	familyGoodputTokens:    "Tokens of requests answered whole and on time.",
	familyWaiting:          "Tickets (agent) or requests (entry) that wait.",
	familyRunning:          "Requests that run.",
	familyLimit:            "How many may run at once; 0 where there is no limit.",
	familyControlMessages:  "Messages between the system's processes.",
	familyControlBytes:     "Bytes of messages between the system's processes.",
	familyPlatformCalls:    "Calls to the platform's services.",
	familyPlatformFailures: "Calls to the platform's services that failed.",
	familyStoreAsked:       "Calls to the platform's store, by table.",
	familyStoreRestored:    "Returns of the platform's store from an older copy, by table that was read anew.",
	familyStoreAsking:      "1 while this gateway follows the list of backend servers in the store, 0 while it has changes from other gateways.",
	familyTargetsVersion:   "Version of the targets in force in this process.",
	familyProofAge:         "Age of the proof that the targets in force are the newest.",
	familyGateways:         "Gateways that this one hears of, itself included.",
	familyServers:          "Backend servers that may get requests.",
	familyServersEnded:     "Starts of backend servers that ended while they had requests of this gateway.",
	familyServersLimited:   "Backend servers that have named a limit.",
	familyLimitedSends:     "Requests sent to backend servers while they had a limit.",
	familyQuarantined:      "Requests that are refused since backend servers ended under them, those that ask for the same thing once.",
	familyUsageGeneration:  "Generation under which this gateway reports usage; 0 while another one does.",
	familyUsageReported:    "Reports of usage that the platform took from this gateway.",
	familyUsageLate:        "Reports of usage that it took later than they were due.",
	familyUsageRefused:     "Reports of usage that got another answer, or none.",
	familyUsageAfter:       "Time from a window's end until its report was taken, of the last report.",
	familyLinesDropped:     "Log lines that were left out.",
	familyCPU:              "CPU time of this process, user and system.",
	familyMemory:           "Memory that this process has from the operating system.",
	familyGoroutines:       "Goroutines of this process.",
}
