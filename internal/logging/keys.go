package logging

// Keys that commands and tests search for in log lines.
const (
	PartKey    = "part"
	LevelKey   = "level"
	TimeKey    = "ts"
	SelfKey    = "self"
	MessageKey = "msg"
	ResultKey  = "result"
	DroppedKey = "dropped_before"
	UnreadKey  = "unread"
	// RequestKey is the key of a request's ID; lines without it are about the process.
	RequestKey = "request"
)

// Key is one key of the vocabulary of log lines.
type Key struct {
	Name string
	// Doc describes the value. Values of keys that end in _ms are in milliseconds.
	Doc string
}

// Section is a group of keys about the same subject.
type Section struct {
	// Name is a short name, shown by the explain command before the fields.
	Name string
	// About describes the subject.
	About string
	Keys  []Key
}

// Names of sections that commands treat specially.
const (
	SectionLine    = "line"
	SectionBelief  = "believed"
	SectionRequest = "request"
	SectionServer  = "server"
)

// Vocabulary holds all keys that a process writes. A key has the same meaning in every line.
// docs/LOGS.md is generated from it.
var Vocabulary = []Section{{SectionLine, "every line", []Key{
	{PartKey, "part of the process that wrote the line; always the first key"},
	{LevelKey, "debug, info, warn or error; info if absent"},
	{TimeKey, "time of the event, in UTC"},
	{SelfKey, "VM of the process that wrote the line"},
	{MessageKey, "sentence that describes the event"},
	{ResultKey, "number and name of the result code, see RESULT-CODES.md; only in lines about a failure"},
	{"err", "underlying error, as reported"},
	{"stack", "call stack of a panic"},
	{"cause", "reason, in words"},
	{DroppedKey, "number of lines with this message dropped since the last one that was written"},
	{UnreadKey, "number of lines dropped because standard output was not read"},
	{Served.String(), "number of dropped lines about requests that were served normally"},
	{Failed.String(), "number of dropped lines about requests that were refused, failed, late or retried"},
	{State.String(), "number of dropped lines about the process"},
}}, {SectionRequest, "a request", []Key{
	{RequestKey, "id of the request, as sent by the caller or returned to it"},
	{"route", "name of the route that the request matched"},
	{"kind", "how the request may be retried: once, idempotent or stream; for an order to a rank, the kind of order"},
	{"prompt_parts", "ids of the parts of the prompt that other requests may share"},
	{"last_part", "id of the last part of the prompt, which belongs to the request or to its session"},
	{"request_digest", "digest of the method, path, query and body: the same if a caller repeats the request under a new id"},
	{"prompt_part", "id of a part of prompts, or request: and the digest of a whole request"},
	{"answer_begun", "whether the answer had got past its beginning when the server ended"},
	{"times", "how often the part has been quarantined"},
	{"servers_ended", "number of backend servers that ended under the part, as this process knows"},
	{"source", "who found the quarantine: this process (found), another entry (reported) or one before a restart (stored)"},
	{"service", "service or model that the request goes to, or that the line is about"},
	{"team", "team or customer whose API key the request carried"},
	{"host", "host that the request asked for"},
	{"path", "beginning of the path, if no route matched"},
	{"text", "message of the refusal or failure"},
	{"ran", "whether the request took effect: no, yes or unknown"},
	{"retry_after_ms", "time after which the caller was told to retry; 0 if it was given none"},
	{"begun", "whether the request with the ticket has started to run"},
	{"ticket", "whether the request came with a ticket, which binds it to one agent"},
	{"status", "HTTP status that the backend server answered with"},
	{"took_ms", "time since the request arrived; in lines about the process, duration of what the line reports"},
	{"waited_ms", "time for which the request was queued"},
	{"first_ms", "time from the arrival of the request to the first byte sent to the caller"},
	{"late", "objective of the route that the answer missed: first (the first event), pause (the time between two events) or whole (the whole answer)"},
	{"gap_ms", "longest time between two events of the answer"},
	{"left_ms", "time left until the deadline of the request"},
	{"last_event", "id of the last event that was sent to the caller"},
	{"sent", "number of backend servers that the request was sent to"},
	{"unsent", "number of backend servers that could not be reached for the request"},
	{"tried", "number of attempts at backend servers, including those that sent nothing"},
	{"verdict", "outcome of the attempt: unsent, not run, failed, broken or moved"},
	{"again", "whether another attempt follows"},
	{"why", "reason why no further attempt follows"},
}}, {SectionBelief, "the state that decisions were based on, and its age", []Key{
	{"config", "version of the configuration that was used, or the log offset up to which it was applied"},
	{"trusted_ms", "time for which the configuration may be used without further evidence that it is current"},
	{"config_age_ms", "time since the store last confirmed the configuration; -1 for never"},
	{"servers_age_ms", "time since the store last confirmed the list of backend servers; -1 for never"},
	{"room_age_ms", "time since the slots of the service were counted"},
	{"free", "number of free slots at the servers that may get work, to be shared by all entries"},
	{"capacity", "total number of slots at the servers that may get work"},
	{"registered", "number of slots at all servers of the service that neither drain nor are in a failure domain that is out"},
	{"running", "number of requests of the service that this entry has in flight"},
	{"waiting", "number of requests of the service queued at this entry"},
	{"urgency", "least urgent rank whose requests are limited; 0 is the most urgent"},
	{"ratio", "fraction of that rank's requests that may run, of those that run or wait at all entries"},
	{"demand", "requests of that rank that run or wait at this entry"},
	{"requests", "first attempts of requests of the service at this entry since it started"},
	{"retries", "requests of the service that this entry has sent again since it started"},
	{"denied", "requests of the service that this entry has not sent again for lack of budget since it started"},
	{"claimed", "retries of the service that this entry has claimed from the reserve of all entries since it started"},
	{"left_out_ms", "time for which no more are claimed"},
	{"entries", "number of live entries, among which the slots are divided"},
}}, {SectionServer, "a backend server, VM or failure domain", []Key{
	{"server", "id of the backend server"},
	{"server_running", "number of requests in flight at the server when this one was placed there, including it"},
	{"server_limit", "maximum number of requests in flight at the server at that time"},
	{"failure_domain", "failure domain of the server or VM, or the one that was marked"},
	{"vm", "the other VM that the line is about"},
	{"address", "IP address of the other side, with or without port"},
	{"role", "role of the other process: entry or agent"},
	{"incarnation", "id that distinguishes one start of a process from another"},
	{"concurrency", "number of requests that the server processes at once"},
	{"draining", "whether the server is draining and takes no new requests"},
	{"cold_ms", "maximum time for which the server stays cold, as it reported"},
	{"for_ms", "time for which the server is ejected and gets no requests"},
	{"in_flight", "requests of this process at the server"},
	{"held_back", "whether the server gets no new requests for a while because its speed swings"},
	{"pace", "ratio of the time that the server takes for its work to its usual time, as it reported"},
	{"closed", "whether the server takes no requests because its group is broken"},
	{"rest_ms", "time for which the server wants no further requests from this entry"},
	{"rate_limit", "number of requests per second that the server takes from all entries together, as it states in its answers"},
	{"limit", "new maximum number of requests in flight at the server"},
	{"open", "whether the service takes requests again"},
	{"out", "whether the failure domain is out from now on"},
}}, {"process", "the process, the store and other entries", []Key{
	{"listener", "name of the listener that clients reached a bound of"},
	{"connections", "number of open connections of its clients"},
	{"max_connections", "bound on them"},
	{"held_bytes", "memory that is held for them, as the process counts it"},
	{"max_held_bytes", "bound on that memory"},
	{"connections_closed", "number of connections that were closed to make room since the last such line"},
	{"connections_refused", "number of connections and requests that were refused for lack of room since the last such line"},
	{"ip", "IP address of this VM, or of the entry that was removed"},
	{"engine", "address of the engine on this VM"},
	{"store", "address of the platform's store"},
	{"seeds", "number of addresses of other VMs in the settings"},
	{"section", "section of the changed setting"},
	{"key", "name of the changed setting"},
	{"need_restart", "number of changed settings that take effect only after a restart"},
	{"uptime_ms", "time since the process started"},
	{"grace_ms", "time until the platform ends the process"},
	{"idle", "whether all work was done when the agent stopped"},
	{"mode", "freshness mode, which decides what the process accepts: starting, fresh, outage or isolated"},
	{"ready", "whether this entry accepts new connections"},
	{"config_known", "whether the process has a configuration"},
	{"servers_usable", "whether any backend server may get work"},
	{"leaving", "whether this entry is stopping"},
	{"serving", "whether the other entry takes requests"},
	{"live", "number of live entries, including this one"},
	{"store_asked", "whether a starting process asks the store for what it needs, not other entries"},
	{"store_fresh", "whether another entry has fresh answers of the store"},
	{"behind", "whether another entry has records that this one lacks"},
	{"addresses", "number of entry addresses that callers are given"},
	{"topic", "topic of the store that was read"},
	{"offset", "offset of the record in its topic"},
	{"applied", "offset up to which the log has been applied"},
	{"from", "offset from which records were requested"},
	{"first", "lowest offset that is still stored"},
	{"operators_next", "next offset to be read in the operators' topic"},
	{"servers_next", "next offset to be read in the topic of registrations"},
	{"away_ms", "time for which the store, the engine or the VM did not answer"},
	{"bytes", "size of the message"},
	{"version", "version of the configuration, expert map or model, depending on the message"},
	{"routes", "number of routes in the configuration"},
	{"services", "number of services in the configuration"},
	{"teams", "number of teams in the configuration"},
}}, {"group", "a group of ranks", []Key{
	{"group", "name of the group"},
	{"agents", "number of agents in the group"},
	{"model", "name of the model"},
	{"rank", "number of the rank"},
	{"ranks", "number of ranks that accepted the order"},
	{"epoch", "number of the group's start; it increases each time the ranks form the group again"},
	{"fence", "fencing number of the coordinator that gave the order"},
	{"step", "step from which the order takes effect"},
	{"outcome", "reply of the rank to the order, or result that the agent reported for the ticket"},
	{"direct", "whether the engine was called directly because its rank agent did not answer"},
	{"map", "version of the expert map"},
	{"loads", "maximum number of experts that one rank copies for the change"},
	{"pass", "moving average of the duration of a pass, with its unit"},
	{"pressed", "whether passes are long relative to the pauses that callers accept"},
	{"skew", "time of a step relative to that of an ideal placement, under the current map; 1 is ideal"},
	{"skew_after", "the same under the new map, as planned"},
	{"stretch", "expected time of a step relative to that of an ideal placement, under the new map; 1 is ideal"},
}}}
