package settings

import (
	"io"
	"io/fs"
	"net/netip"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/apricothub/apricothub/api"
)

// LoadEntry reads the settings file of an entry.
func LoadEntry(path string) (*api.EntrySettings, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, text)
}

// LoadAgent reads the settings file of an agent.
func LoadAgent(path string) (*api.AgentSettings, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseAgent(path, text)
}

// ReadFile reads a settings file or a list, up to just beyond the maximum size for the parser.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, unreadableFault(path, err)
	}
	defer file.Close()
	// One byte more than allowed lets the parser detect that the file is too large.
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, unreadableFault(path, err)
	}
	return text, nil
}

// unreadableFault returns the fault for a file that cannot be read. It unwraps the path error, so
// that the message has the file name only once.
func unreadableFault(path string, err error) error {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	return Faults{{File: path, Reason: "cannot be read: " + err.Error()}}
}

// ParseEntry parses an entry's settings; name is the file name in error messages.
func ParseEntry(name string, text []byte) (*api.EntrySettings, error) {
	faults := &faultList{file: name}
	into := &api.EntrySettings{}
	sectionLines := parseSettings(text, into, faults)
	checkEntry(into, sectionLines, faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	return into, nil
}

// ParseAgent parses an agent's settings; name is the file name in error messages. The group is
// nil if the file names none.
func ParseAgent(name string, text []byte) (*api.AgentSettings, error) {
	faults := &faultList{file: name}
	into := &api.AgentSettings{}
	sectionLines := parseSettings(text, into, faults)
	checkAgent(into, sectionLines, faults)
	if into.GetGroup().GetName() == "" {
		into.Group = nil
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return into, nil
}

// lineNumbers maps the name of a section to its line.
type lineNumbers map[string]int

// parseSettings fills all sections of a settings message and returns their lines.
func parseSettings(text []byte, into proto.Message, faults *faultList) lineNumbers {
	message := into.ProtoReflect()
	fields := message.Descriptor().Fields()
	sectionLines := lineNumbers{}
	for _, from := range scan(text, faults) {
		field := fields.ByName(protoreflect.Name(strings.ReplaceAll(from.name, "-", "_")))
		if field == nil || strings.Contains(from.name, "_") {
			faults.add(from.line, from.name, "", "unknown section; the file has %s", sectionNames(message.Descriptor()))
			continue
		}
		if _, twice := sectionLines[from.name]; twice {
			continue
		}
		sectionLines[from.name] = from.line
		decode(from, message.Mutable(field).Message(), faults)
	}
	for i := range fields.Len() {
		name := keyName(fields.Get(i))
		if _, ok := sectionLines[name]; !ok {
			applyDefaults(section{name: name}, message.Mutable(fields.Get(i)).Message(), faults)
		}
	}
	return sectionLines
}

func sectionNames(message protoreflect.MessageDescriptor) string {
	var names []string
	for i := range message.Fields().Len() {
		names = append(names, "["+keyName(message.Fields().Get(i))+"]")
	}
	return strings.Join(names, ", ")
}

func checkEntry(s *api.EntrySettings, sectionLines lineNumbers, faults *faultList) {
	listen := s.GetListen()
	if isUnspecified(listen.GetPublic()) && listen.GetPublicName() == "" {
		faults.add(sectionLines["listen"], "listen", "public-name",
			"the key is missing: callers cannot connect to %s", listen.GetPublic())
	}
	if isUnspecified(listen.GetPublicName()) {
		faults.add(sectionLines["listen"], "listen", "public-name", "callers cannot reach %s", listen.GetPublicName())
	}
	checkLinkAddress(listen.GetLink(), sectionLines, faults)
	checkLinkSettings(s.GetLink(), sectionLines, faults)
	checkLogLevel(s.GetLog(), sectionLines, faults)
	if limits := s.GetLimits(); limits.GetReadHeaderMs() > limits.GetReadBodyMs() {
		faults.add(sectionLines["limits"], "limits", "read-header-ms", "must not be longer than read-body-ms")
	}
}

func checkAgent(s *api.AgentSettings, sectionLines lineNumbers, faults *faultList) {
	checkLinkAddress(s.GetListen().GetLink(), sectionLines, faults)
	checkLinkSettings(s.GetLink(), sectionLines, faults)
	checkLogLevel(s.GetLog(), sectionLines, faults)
	checkBackend(s.GetBackend(), sectionLines["backend"], faults)
	checkGroup(s.GetGroup(), s.GetBackend(), sectionLines["group"], faults)
}

func checkLinkAddress(link string, sectionLines lineNumbers, faults *faultList) {
	if isUnspecified(link) {
		faults.add(sectionLines["listen"], "listen", "link", "other processes cannot connect to %s; set one address of this VM", link)
	}
}

// checkLinkSettings checks the times and keys of links.
func checkLinkSettings(l *api.Links, sectionLines lineNumbers, faults *faultList) {
	checkLinkTimes(l, sectionLines, faults)
	checkLinkKeys(l, sectionLines, faults)
}

// checkLinkKeys rejects a second key that equals the first. An operator who changes the key would
// believe that the change has begun, and the next step of the change would break all links.
func checkLinkKeys(l *api.Links, sectionLines lineNumbers, faults *faultList) {
	if l.GetOtherKey() != "" && l.GetOtherKey() == l.GetKey() {
		faults.add(sectionLines["link"], "link", "other-key", "is the same as key; it must be the previous or the next key")
	}
}

// checkLinkTimes requires heartbeat < suspect < dead. Otherwise, a healthy link would be suspected
// between two heartbeats, or a link would be closed while it still got new work.
func checkLinkTimes(l *api.Links, sectionLines lineNumbers, faults *faultList) {
	if l.GetHeartbeatMs() >= l.GetSuspectMs() {
		faults.add(sectionLines["link"], "link", "heartbeat-ms", "must be shorter than suspect-ms (%d)", l.GetSuspectMs())
	}
	if l.GetSuspectMs() >= l.GetDeadMs() {
		faults.add(sectionLines["link"], "link", "suspect-ms", "must be shorter than dead-ms (%d)", l.GetDeadMs())
	}
}

func checkLogLevel(l *api.Log, sectionLines lineNumbers, faults *faultList) {
	switch l.GetLevel() {
	case "debug", "info", "warn", "error":
	default:
		faults.add(sectionLines["log"], "log", "level", "%q is not debug, info, warn or error", truncate(l.GetLevel()))
	}
}

func checkBackend(b *api.Backend, line int, faults *faultList) {
	if (b.GetModel() == "") == (b.GetService() == "") {
		faults.add(line, "backend", "", "needs either model or service, and not both")
	}
	if b.GetModel() == "" && (b.GetModelVersion() != "" || len(b.GetAdapters()) > 0) {
		faults.add(line, "backend", "", "model-version and adapters need a model")
	}
	if b.GetColdLimit() > b.GetFullLimit() {
		faults.add(line, "backend", "cold-limit", "must not be larger than full-limit (%d)", b.GetFullLimit())
	}
}

func checkGroup(g *api.Group, b *api.Backend, line int, faults *faultList) {
	if g.GetName() == "" {
		if g.GetRanks() != 0 || g.GetSize() != 0 || g.GetFirstRank() != 0 {
			faults.add(line, "group", "name", "the key is missing: ranks need a group")
		}
		return
	}
	if b.GetModel() == "" {
		faults.add(line, "group", "name", "only a model engine can be in a group")
	}
	if g.GetRanks() == 0 {
		faults.add(line, "group", "ranks", "a group needs at least one rank on this VM")
	}
	if g.GetFirstRank()+g.GetRanks() > g.GetSize() {
		faults.add(line, "group", "size", "ranks %d to %d do not fit in a group of %d",
			g.GetFirstRank(), g.GetFirstRank()+g.GetRanks()-1, g.GetSize())
	}
}

func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}
