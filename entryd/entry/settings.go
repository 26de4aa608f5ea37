package entry

import (
	"encoding/hex"
	"net"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

type (
	// Settings is a daemon's settings file. Field names match the YAML keys.
	Settings struct {
		// Name is the daemon's identifier in the instance list.
		Name       string `yaml:"Name"`
		Region     string `yaml:"Region"`
		DataCentre string `yaml:"DataCentre"`
		// Listen is the address for callers and operators, IP:port. Port 0 picks a free one.
		Listen string `yaml:"Listen"`
		// PeerListen is the address for other daemons, IP:port.
		PeerListen string `yaml:"PeerListen"`
		// Log, List and Cloud are the addresses of the platform's services. Cloud may be empty.
		Log   string `yaml:"Log"`
		List  string `yaml:"List"`
		Cloud string `yaml:"Cloud"`
		// PeerSecret authenticates daemons to each other. It has at least 16 characters.
		PeerSecret string `yaml:"PeerSecret"`
		// OperatorKeyHashes are the hex SHA-256 hashes of the operators' keys.
		OperatorKeyHashes []string `yaml:"OperatorKeyHashes"`
		// MaxRequests bounds the model requests that the daemon owns, including finished ones that
		// are still readable.
		MaxRequests int `yaml:"MaxRequests"`
		// MaxHeldRequests and MaxHeldMiB bound the copies held for other daemons.
		MaxHeldRequests int `yaml:"MaxHeldRequests"`
		MaxHeldMiB      int `yaml:"MaxHeldMiB"`
		// MaxBodyKiB bounds a caller's request body.
		MaxBodyKiB int `yaml:"MaxBodyKiB"`
		// DrainSeconds bounds the wait for requests in progress at shutdown.
		DrainSeconds int `yaml:"DrainSeconds"`
		// Events is the number of events in the timeline buffer.
		Events int `yaml:"Events"`
		// KeyWindowMinutes is the maximum age of a valid idempotency key.
		KeyWindowMinutes int `yaml:"KeyWindowMinutes"`
		// Fleet enables ordering instances from the cloud. Cloud must be set.
		Fleet bool `yaml:"Fleet"`
		// FleetOwner is the owner tag of the instances. All daemons of a system use the same tag,
		// and no other system uses it.
		FleetOwner string `yaml:"FleetOwner"`
		// FleetIntervalMilliseconds is the pause between two plans.
		FleetIntervalMilliseconds int `yaml:"FleetIntervalMilliseconds"`
		// FleetStartSeconds is the cold start time of an instance.
		FleetStartSeconds int `yaml:"FleetStartSeconds"`
		// FleetPerReplica is the number of concurrent requests that a replica serves within the
		// latency target.
		FleetPerReplica int `yaml:"FleetPerReplica"`
		// FleetWindowMinutes is the window over which the plan covers the peak demand. A peak
		// decays over twice that time.
		FleetWindowMinutes int `yaml:"FleetWindowMinutes"`
		// FleetReservePercent is the percentage of the needed replicas that must remain after the
		// loss of all reclaimable instances of any one data centre.
		FleetReservePercent int `yaml:"FleetReservePercent"`
		// FleetMaxStarting bounds the instances that load from the weight store concurrently.
		FleetMaxStarting int `yaml:"FleetMaxStarting"`
		// FleetGraceSeconds is how long an instance must be surplus before it is ended.
		// FleetOrphanSeconds is how long an instance may be without a plan slot.
		FleetGraceSeconds  int `yaml:"FleetGraceSeconds"`
		FleetOrphanSeconds int `yaml:"FleetOrphanSeconds"`
		// MemoryMB is the memory of the instance in MB of 10^6 bytes, MaxDescriptors the files that the process may
		// open. What is held for callers is derived from both, after MaxHeldMiB. Without MemoryMB, it is derived
		// from defaultMemoryMB, and without MaxDescriptors from the limit of the process.
		MemoryMB       int `yaml:"MemoryMB"`
		MaxDescriptors int `yaml:"MaxDescriptors"`
		// CallerConnections, CallerHeadKiB and CallerBodyKiB replace the derived limits of callers' connections, and
		// of the memory of their heads and bodies. CallerStallMilliseconds is the time without progress after which a connection is
		// closed if room is short, CallerReadMilliseconds that after which a body is refused.
		CallerConnections       int `yaml:"CallerConnections"`
		CallerHeadKiB           int `yaml:"CallerHeadKiB"`
		CallerBodyKiB           int `yaml:"CallerBodyKiB"`
		CallerStallMilliseconds int `yaml:"CallerStallMilliseconds"`
		CallerReadMilliseconds  int `yaml:"CallerReadMilliseconds"`
	}

	// settingRange is the allowed range of one numeric setting.
	settingRange struct {
		name      string
		number    int
		low, high int
	}
)

// minSecretLength is the minimum length of the peer secret in characters.
const minSecretLength = 16

// ErrSettings reports invalid settings.
var ErrSettings = eris.New("invalid settings")

// Check returns an error that wraps ErrSettings and lists every setting that is missing or invalid.
func (s Settings) Check() error {
	var problems []string
	for name, text := range map[string]string{
		"Name": s.Name, "DataCentre": s.DataCentre, "Region": s.Region,
	} {
		if text == "" {
			problems = append(problems, name+" is missing")
		}
	}
	for name, address := range map[string]string{
		"Listen": s.Listen, "PeerListen": s.PeerListen, "Log": s.Log, "List": s.List,
	} {
		if problem := addressProblem(address); problem != "" {
			problems = append(problems, name+" "+problem)
		}
	}
	if s.Cloud != "" {
		if problem := addressProblem(s.Cloud); problem != "" {
			problems = append(problems, "Cloud "+problem)
		}
	}
	if s.Listen != "" && s.Listen == s.PeerListen && !strings.HasSuffix(s.Listen, ":0") {
		problems = append(problems, "Listen and PeerListen are the same address")
	}
	if len(s.PeerSecret) < minSecretLength {
		problems = append(problems, "PeerSecret has fewer than 16 characters")
	}
	for _, hash := range s.OperatorKeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
			problems = append(problems, "OperatorKeyHashes has an entry that is not a hex SHA-256 hash")
		}
	}
	if s.Fleet && s.Cloud == "" {
		problems = append(problems, "Fleet needs Cloud")
	}
	if strings.Contains(s.FleetOwner, "/") {
		problems = append(problems, "FleetOwner has a '/', which separates the parts of client tokens")
	}
	d := s.WithDefaults()
	for _, r := range []settingRange{
		{"MaxRequests", d.MaxRequests, 1, 100_000},
		{"MaxHeldRequests", d.MaxHeldRequests, 1, 100_000},
		{"MaxHeldMiB", d.MaxHeldMiB, 1, 4096},
		{"MaxBodyKiB", d.MaxBodyKiB, 1, 65_536},
		{"DrainSeconds", d.DrainSeconds, 1, 3600},
		{"Events", d.Events, 16, 1_000_000},
		{"KeyWindowMinutes", d.KeyWindowMinutes, 1, 10_080},
		{"FleetIntervalMilliseconds", d.FleetIntervalMilliseconds, 100, 600_000},
		{"FleetStartSeconds", d.FleetStartSeconds, 1, 7200},
		{"FleetPerReplica", d.FleetPerReplica, 1, 10_000},
		{"FleetWindowMinutes", d.FleetWindowMinutes, 1, 10_080},
		{"FleetReservePercent", d.FleetReservePercent, 1, 100},
		{"FleetMaxStarting", d.FleetMaxStarting, 1, 1000},
		{"FleetGraceSeconds", d.FleetGraceSeconds, 1, 86_400},
		{"FleetOrphanSeconds", d.FleetOrphanSeconds, 1, 86_400},
		{"MemoryMB", s.MemoryMB, 0, 1_000_000},
		{"MaxDescriptors", s.MaxDescriptors, 0, 10_000_000},
		{"CallerConnections", s.CallerConnections, 0, 1_000_000},
		{"CallerHeadKiB", s.CallerHeadKiB, 0, 1_000_000},
		{"CallerBodyKiB", s.CallerBodyKiB, 0, 100_000_000},
		{"CallerStallMilliseconds", s.CallerStallMilliseconds, 0, 600_000},
		{"CallerReadMilliseconds", s.CallerReadMilliseconds, 0, 600_000},
	} {
		if r.number < r.low || r.number > r.high {
			problems = append(problems, eris.Errorf("%s %d is outside %d to %d", r.name, r.number, r.low, r.high).Error())
		}
	}
	for _, p := range s.CheckFields() {
		problems = append(problems, p.Field+" "+p.Text)
	}
	if len(problems) > 0 {
		slices.Sort(problems)
		return eris.Wrap(ErrSettings, strings.Join(problems, "; "))
	}
	return nil
}

// WithDefaults returns the settings with defaults for all zero numbers and for a missing owner tag.
func (s Settings) WithDefaults() Settings {
	if s.FleetOwner == "" {
		s.FleetOwner = "lentilstage"
	}
	for _, d := range []struct {
		number   *int
		fallback int
	}{
		{&s.MaxRequests, 2000},
		{&s.MaxHeldRequests, 4000},
		{&s.MaxHeldMiB, 256},
		{&s.MaxBodyKiB, 1024},
		{&s.DrainSeconds, 60},
		{&s.Events, 8192},
		{&s.KeyWindowMinutes, 360},
		{&s.FleetIntervalMilliseconds, 5000},
		{&s.FleetStartSeconds, 300},
		{&s.FleetPerReplica, 16},
		{&s.FleetWindowMinutes, 60},
		{&s.FleetReservePercent, 66},
		{&s.FleetMaxStarting, 8},
		{&s.FleetGraceSeconds, 600},
		{&s.FleetOrphanSeconds, 600},
	} {
		if *d.number == 0 {
			*d.number = d.fallback
		}
	}
	return s
}

// addressProblem returns why an address is invalid, or an empty string.
func addressProblem(address string) string {
	if address == "" {
		return "is missing"
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return "is not an IP address with a port"
	}
	return ""
}
