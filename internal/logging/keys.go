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
	{PartKey, "the part of the process that writes; first in the line"},
	{LevelKey, "debug, info, warn or error; info where it is absent"},
	{TimeKey, "when, UTC"},
	{SelfKey, "the VM whose process writes"},
	{MessageKey, "the sentence: what happened"},
	{ResultKey, "number and name of the result, a row of RESULT-CODES.md; only lines of a failure have it"},
	{"err", "the error behind it, as it was reported"},
	{"cause", "why, in words"},
	{DroppedKey, "lines of this sentence left out since its last one"},
	{UnreadKey, "lines left out since nobody read standard output"},
	{Served.String(), "lines left out about requests that went well"},
	{Failed.String(), "lines left out about requests that did not"},
	{State.String(), "lines left out about the process"},
}}, {SectionRequest, "a request", []Key{
	{RequestKey, "the request's id, as the caller gave it or got it back"},
	{"route", "name of the route that it matched"},
	{"kind", "what may be done with the request: once, idempotent or stream; of an order, what a rank is to do"},
	{"service", "the service that it goes to, or that the line is about"},
	{"team", "the team whose key it came with"},
	{"host", "the host that it asked for"},
	{"path", "the beginning of its path, when no route matched"},
	{"text", "what the caller was told"},
	{"ran", "whether the request took effect: no, yes or unknown"},
	{"retry_after_ms", "when the caller was told to come back; 0 for not at all"},
	{"begun", "whether the request that the ticket stands for has begun to run"},
	{"ticket", "whether it came with a ticket, which fixes the agent"},
	{"status", "the HTTP status of the backend server"},
	{"took_ms", "time from the arrival, or that the matter took"},
	{"waited_ms", "time for which it waited for its turn"},
	{"first_ms", "time from the arrival to the first byte for the caller"},
	{"late", "what was later than the route aims at: the first event, a pause between two, or the whole answer"},
	{"gap_ms", "longest time between two events of the answer"},
	{"left_ms", "time left to its deadline"},
	{"last_event", "id of the last event that its caller has"},
	{"sent", "backend servers that it was sent to"},
	{"unsent", "backend servers that could not be reached for it"},
	{"tried", "backend servers that it was taken to, sent or not"},
	{"verdict", "how the attempt ended: unsent, not run, failed, broken or over"},
	{"again", "whether another attempt follows"},
	{"why", "why none does"},
}}, {SectionBelief, "what was believed, and how old that was", []Key{
	{"config", "version of the configuration that was gone by, or the offset up to which it is applied"},
	{"trusted_ms", "time for which the configuration may be gone by without further evidence that it is current"},
	{"config_age_ms", "time since the store last confirmed it; -1 for never"},
	{"servers_age_ms", "time since the store last confirmed the backend servers; -1 for never"},
	{"room_age_ms", "time since the places of the service were counted"},
	{"free", "places free at the servers that may get work, for all entries"},
	{"capacity", "all places there"},
	{"registered", "places at all servers of the service whose failure domain is not out"},
	{"running", "requests of the service that this entry has at servers"},
	{"waiting", "requests of the service that wait at this entry"},
	{"entries", "live entries by which the places are shared out"},
}}, {SectionServer, "a backend server, VM or failure domain", []Key{
	{"server", "id of the backend server"},
	{"server_running", "requests there when this one was placed, it included"},
	{"server_limit", "the most that were to be there"},
	{"failure_domain", "failure domain of the server or VM, or the one that is marked"},
	{"vm", "the other VM that the line is about"},
	{"address", "IP, or IP and port, of the other side"},
	{"role", "entry or agent"},
	{"incarnation", "number that tells one start of a process from another"},
	{"concurrency", "requests that the server works on at once"},
	{"draining", "the server takes nothing new"},
	{"cold_ms", "time for which the server says that it stays cold at most"},
	{"for_ms", "time for which the server gets no work"},
	{"pace", "how many times slower than usual the server is, by its own word"},
	{"closed", "the server takes no work now"},
	{"limit", "the most requests to have there from now on"},
	{"open", "whether the service takes work again"},
	{"out", "whether the failure domain is out from now on"},
}}, {"process", "the process, the store and other entries", []Key{
	{"ip", "IP of this VM"},
	{"engine", "address of the engine on this VM"},
	{"store", "address of the platform's store"},
	{"seeds", "addresses of other VMs in the settings"},
	{"section", "section of a setting"},
	{"key", "name of a setting"},
	{"need_restart", "changed settings that hold from the next start on"},
	{"uptime_ms", "time since the process started"},
	{"grace_ms", "time until the platform ends the process"},
	{"idle", "whether no work was under way"},
	{"mode", "what the process takes, by how fresh its knowledge is"},
	{"ready", "whether this entry takes new connections"},
	{"config_known", "whether a configuration is known"},
	{"servers_usable", "whether any backend server may get work"},
	{"leaving", "whether this entry is stopping"},
	{"serving", "whether the other entry takes requests"},
	{"live", "entries that are heard, this one included"},
	{"addresses", "addresses that callers are told"},
	{"topic", "the list of the store that was read"},
	{"offset", "offset of the record in its list"},
	{"applied", "offset up to which the log is in force"},
	{"from", "offset that was asked for"},
	{"first", "first offset that is still there"},
	{"operators_next", "offset up to which the operators' list is read"},
	{"servers_next", "offset up to which the registrations are read"},
	{"away_ms", "time for which the store did not answer"},
	{"bytes", "size of the message"},
	{"version", "version of the configuration, expert map or model, by the sentence"},
	{"routes", "routes in the configuration"},
	{"services", "services in the configuration"},
	{"teams", "teams in the configuration"},
}}, {"group", "a group of ranks", []Key{
	{"group", "name of the group"},
	{"agents", "agents of the group"},
	{"model", "name of the model"},
	{"rank", "number of the rank"},
	{"ranks", "how many ranks"},
	{"epoch", "number of the group's life since its ranks last met"},
	{"fence", "fencing number of the coordinator that gave the order"},
	{"step", "step from which the order holds"},
	{"outcome", "what the rank answered, or what the agent said"},
	{"direct", "the order went to the engine itself, since no process beside it answered"},
	{"map", "version of the expert map"},
	{"loads", "experts that are loaded for the change"},
	{"pass", "the pass after which the popularity was measured"},
	{"pressed", "the group has as much work as it bears"},
	{"skew", "slowest rank over the mean, before"},
	{"skew_after", "the same with the new map, as planned"},
	{"stretch", "how much longer a switch takes than planned"},
}}}
