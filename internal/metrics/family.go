package metrics

// family is the name of a metric family, whose series differ in their labels.
type family string

// Metric families that a process exposes.
const (
	familyReceived             family = "applepier_requests_received_total"
	familyFinished             family = "applepier_requests_finished_total"
	familyRefused              family = "applepier_requests_refused_total"
	familyReceivedPromptTokens family = "applepier_received_prompt_tokens_total"
	familyRefusedPromptTokens  family = "applepier_refused_prompt_tokens_total"
	familyOutcomeUnknown       family = "applepier_requests_unknown_total"
	familyFailed               family = "applepier_requests_failed_total"
	familyCancelled            family = "applepier_requests_cancelled_total"
	familyRetried              family = "applepier_requests_retried_total"
	familyRetriesDenied        family = "applepier_retries_denied_total"
	familyWastedTokens         family = "applepier_wasted_tokens_total"
	familyFirstToken           family = "applepier_first_token_seconds"
	familyLongestPause         family = "applepier_event_pause_seconds"
	familyGoodputRequests      family = "applepier_goodput_requests_total"
	familyGoodputTokens        family = "applepier_goodput_tokens_total"
	familyWaiting              family = "applepier_waiting"
	familyRunning              family = "applepier_running"
	familyRunningLimit         family = "applepier_running_limit"
	familyControlMessages      family = "applepier_control_messages_total"
	familyControlBytes         family = "applepier_control_bytes_total"
	familyPlatformCalls        family = "applepier_platform_calls_total"
	familyPlatformFailures     family = "applepier_platform_failures_total"
	familyStoreCalls           family = "applepier_store_asked_total"
	familyStoreRestores        family = "applepier_store_restored_total"
	familyStorePolling         family = "applepier_store_asking"
	familyTargetsVersion       family = "applepier_targets_version"
	familyStateAge             family = "applepier_targets_proof_age_milliseconds"
	familyLiveGateways         family = "applepier_gateways"
	familyUsableServers        family = "applepier_backend_servers"
	familyServerListAge        family = "applepier_backend_server_list_age_milliseconds"
	familyFasterServers        family = "applepier_backend_servers_faster"
	familySlowerServers        family = "applepier_backend_servers_slower"
	familyReservedServers      family = "applepier_backend_servers_reserved"
	familyStreamsPaused        family = "applepier_streams_paused_total"
	familyBackedOffServers     family = "applepier_backend_servers_backed_off"
	familyServerBackoffs       family = "applepier_backend_server_backoffs_total"
	familyResponsesTooLarge    family = "applepier_backend_responses_too_large_total"
	familyEventsOutOfOrder     family = "applepier_backend_events_out_of_order_total"
	familyServersEnded         family = "applepier_backend_servers_ended_total"
	familyStreamsResumed       family = "applepier_streams_resumed_total"
	familyLimitedServers       family = "applepier_backend_servers_limited"
	familyLimitedSends         family = "applepier_limited_sends_total"
	familyQuarantinedRequests  family = "applepier_requests_quarantined"
	familyConnectionsRefused   family = "applepier_connections_refused_milliseconds_total"
	familyZonePrice            family = "applepier_zone_price_microseconds_per_megabyte"
	familyZoneShare            family = "applepier_zone_share_permille"
	familyUsageGeneration      family = "applepier_usage_generation"
	familyUsageAccepted        family = "applepier_usage_reports_total"
	familyUsageLate            family = "applepier_usage_reports_late_total"
	familyUsageFailed          family = "applepier_usage_reports_failed_total"
	familyUsageDelay           family = "applepier_usage_report_after_milliseconds"
	familyLogLinesDropped      family = "applepier_log_lines_dropped_total"
	familyCPU                  family = "applepier_process_cpu_seconds_total"
	familyMemory               family = "applepier_process_memory_bytes"
	familyGoroutines           family = "applepier_process_goroutines"
)

// helpTexts holds the HELP text of each family.
var helpTexts = map[family]string{
	familyReceived:             "Requests taken from callers.",
	familyFinished:             "Requests answered whole, on time or late.",
	familyRefused:              "Requests rejected and certainly not run.",
	familyReceivedPromptTokens: "Tokens in the prompts of requests taken from callers.",
	familyRefusedPromptTokens:  "Tokens in the prompts of requests rejected and certainly not run.",
	familyOutcomeUnknown:       "Requests whose caller was told that they may have run.",
	familyFailed:               "Requests that ended with another error.",
	familyCancelled:            "Requests whose caller went away.",
	familyRetried:              "Further attempts at requests.",
	familyRetriesDenied:        "Requests that were not attempted again because of the retry budget.",
	familyWastedTokens:         "Tokens generated that reached no caller as part of a whole answer.",
	familyFirstToken:           "Time from a request's arrival to its first token.",
	familyLongestPause:         "Longest pause between two events of a stream.",
	familyGoodputRequests:      "Requests answered whole and on time.",
	familyGoodputTokens:        "Tokens of requests answered whole and on time.",
	familyWaiting:              "Tickets (agent) or requests (entry) that wait.",
	familyRunning:              "Requests that run.",
	familyRunningLimit:         "How many may run at once; 0 where there is no limit.",
	familyControlMessages:      "Messages between the system's processes.",
	familyControlBytes:         "Bytes of messages between the system's processes.",
	familyPlatformCalls:        "Calls to the platform's services.",
	familyPlatformFailures:     "Calls to the platform's services that failed.",
	familyStoreCalls:           "Calls to the platform's store, by table.",
	familyStoreRestores:        "Returns of the platform's store from an older copy, by table that was read anew.",
	familyStorePolling:         "1 while this gateway follows the list of backend servers in the store, 0 while it has changes from other gateways.",
	familyTargetsVersion:       "Version of the targets in force in this process.",
	familyStateAge:             "Age of the proof that the targets in force are the newest.",
	familyLiveGateways:         "Gateways that this one hears of, itself included.",
	familyUsableServers:        "Backend servers that may get requests.",
	familyServerListAge:        "Age of the proof that the list of backend servers is complete.",
	familyFasterServers:        "Backend servers that take clearly less time for an event than most of their service.",
	familySlowerServers:        "Backend servers that take clearly more time for an event than most of their service.",
	familyReservedServers:      "Backend servers that are reserved for streams with a tight target for pauses.",
	familyStreamsPaused:        "Streams that exceeded their target for pauses.",
	familyBackedOffServers:     "Backend servers that have asked this gateway to back off.",
	familyServerBackoffs:       "Responses in which a backend server asked this gateway to back off.",
	familyEventsOutOfOrder:     "Streams of backend servers that were broken off because their events were out of order.",
	familyResponsesTooLarge:    "Responses of backend servers that were dropped because a part of them exceeded its limit.",
	familyServersEnded:         "Starts of backend servers that ended while they had requests of this gateway.",
	familyStreamsResumed:       "Streams that were resumed, in one response or by their callers.",
	familyLimitedServers:       "Backend servers that have named a limit.",
	familyLimitedSends:         "Requests sent to backend servers while they had a limit.",
	familyQuarantinedRequests:  "Requests, and prompt segments of requests, that are refused since backend servers ended under them; those with the same content count once.",
	familyConnectionsRefused:   "Time for which new connections of callers were refused because the process got too little processor time.",
	familyZonePrice:            "Wait of a caller that one megabyte of traffic between availability zones is worth.",
	familyZoneShare:            "Share of this gateway's zone's requests for a service that is sent to another zone, in thousandths.",
	familyUsageGeneration:      "Generation under which this gateway reports usage; 0 while another one does.",
	familyUsageAccepted:        "Reports of usage that the platform took from this gateway.",
	familyUsageLate:            "Reports of usage that it took later than they were due.",
	familyUsageFailed:          "Reports of usage that got another answer, or none.",
	familyUsageDelay:           "Time from a window's end until its report was taken, of the last report.",
	familyLogLinesDropped:      "Log lines that were left out.",
	familyCPU:                  "CPU time of this process, user and system.",
	familyMemory:               "Memory that this process has from the operating system.",
	familyGoroutines:           "Goroutines of this process.",
}
