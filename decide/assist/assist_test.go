package assist

import (
	"slices"
	"testing"
	"time"

	"lentilstage.dev/decide/cases"
	"lentilstage.dev/decide/intake"
)

type (
	linksCase struct {
		Name   string `yaml:"Name"`
		Events []struct {
			At         int64            `yaml:"At"`
			Opened     string           `yaml:"Opened"`
			Failed     string           `yaml:"Failed"`
			TestOpened string           `yaml:"TestOpened"`
			TestFailed string           `yaml:"TestFailed"`
			Sent       string           `yaml:"Sent"`
			Heard      string           `yaml:"Heard"`
			Ended      string           `yaml:"Ended"`
			Questioned []string         `yaml:"Questioned"`
			Took       int64            `yaml:"Took"`
			Peer       int64            `yaml:"Peer"`
			Reached    map[string]int64 `yaml:"Reached"`
			Tick       []string         `yaml:"Tick"`
			Phase      Phase            `yaml:"Phase"`
			Tests      int              `yaml:"Tests"`
			Asks       int              `yaml:"Asks"`
			LostTo     []string         `yaml:"LostTo"`
		} `yaml:"Events"`
	}

	helperCase struct {
		Name    string `yaml:"Name"`
		Helpers []struct {
			Name            string `yaml:"Name"`
			DataCentre      string `yaml:"DataCentre"`
			Config          int64  `yaml:"Config"`
			Room            int    `yaml:"Room"`
			Given           int    `yaml:"Given"`
			AgeMilliseconds int64  `yaml:"AgeMilliseconds"`
		} `yaml:"Helpers"`
		Tried  []string `yaml:"Tried"`
		Random float64  `yaml:"Random"`
		Want   string   `yaml:"Want"`
	}

	offerCase struct {
		Name     string `yaml:"Name"`
		Known    bool   `yaml:"Known"`
		Ready    bool   `yaml:"Ready"`
		Draining bool   `yaml:"Draining"`
		Config   int64  `yaml:"Config"`
		Links    Phase  `yaml:"Links"`
		Serving  int    `yaml:"Serving"`
		Room     int    `yaml:"Room"`
		Want     Reason `yaml:"Want"`
	}
)

var start = time.Unix(1000, 0)

func at(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLinks guards against a daemon that takes lost links for lost endpoints, or the reverse: its callers would be refused,
// or requests sent round over other daemons while endpoints crash, are busy or silent.
func TestLinks(t *testing.T) {
	for _, c := range cases.Load[linksCase](t, "testdata/links.yaml") {
		links := NewLinks()
		heardAt := start
		for _, e := range c.Events {
			now := at(e.At)
			var message Message
			switch {
			case e.Opened != "":
				message = Opened{ID: e.Opened, Now: now}
			case e.Failed != "":
				message = Failed{ID: e.Failed, Began: at(e.At - e.Took), Now: now}
			case e.TestOpened != "":
				message = Opened{ID: e.TestOpened, Now: now, Test: true}
			case e.TestFailed != "":
				message = Failed{ID: e.TestFailed, Began: at(e.At - e.Took), Now: now, Test: true}
			case e.Sent != "":
				message = Sent{ID: e.Sent, Now: now}
			case e.Heard != "":
				message = Heard{ID: e.Heard, Now: now}
			case e.Ended != "":
				message = Ended{ID: e.Ended}
			case e.Questioned != nil:
				message = Questioned{IDs: e.Questioned, Now: now}
			case e.Tick != nil:
				message = Tick{Now: now, Endpoints: e.Tick, HeardAt: heardAt, Random: func() float64 { return 0.5 }}
			default:
				evidence := Evidence{OpenedAt: at(e.At - e.Peer), Reached: map[string]time.Time{}, Now: now}
				if e.Peer == 0 {
					evidence.OpenedAt = time.Time{}
				}
				for id, age := range e.Reached {
					evidence.Reached[id] = at(e.At - age)
				}
				message = evidence
			}
			var commands []Command
			links, commands = links.Update(message)
			tests, asks := 0, 0
			for _, command := range commands {
				switch command := command.(type) {
				case Test:
					tests += len(command.IDs)
				case Ask:
					asks += len(command.IDs)
				}
			}
			if links.Phase() != e.Phase || tests != e.Tests || asks != e.Asks && e.Asks > 0 {
				t.Errorf("%s, at %d ms: %s with %d tests and %d endpoints in a question; want %s, %d and %d",
					c.Name, e.At, links.Phase(), tests, asks, e.Phase, e.Tests, e.Asks)
			}
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				if got, want := links.LostTo(id, now), slices.Contains(e.LostTo, id); got != want {
					t.Errorf("%s, at %d ms: the link to %s counts as lost: %v, want %v", c.Name, e.At, id, got, want)
				}
			}
		}
	}
}

// TestHealedLinksAreTestedInGrowingRounds guards against a burst of connections after a cut, and against endpoints that
// are passed over for long after it.
func TestHealedLinksAreTestedInGrowingRounds(t *testing.T) {
	const endpoints = 96
	links := NewLinks()
	ids := make([]string, endpoints)
	for i := range ids {
		ids[i] = string(rune('!' + i))
		links, _ = links.Update(Failed{ID: ids[i], Now: start})
	}
	for _, id := range ids {
		links, _ = links.Update(Failed{ID: id, Began: at(2), Now: at(3)})
	}
	links, _ = links.Update(Evidence{OpenedAt: at(1), Now: at(4)})
	links, _ = links.Update(Evidence{OpenedAt: at(3), Now: at(4)})
	if !links.Lost() {
		t.Fatal("the links don't count as lost")
	}
	ms, most := int64(1000), 0
	for ; links.FailingAny() && ms < 10_000; ms += 100 {
		var commands []Command
		links, commands = links.Update(Tick{Now: at(ms), Endpoints: ids, Random: func() float64 { return 0.5 }})
		for _, command := range commands {
			if test, ok := command.(Test); ok {
				most = max(most, len(test.IDs))
				for _, id := range test.IDs {
					links, _ = links.Update(Opened{ID: id, Now: at(ms), Test: true})
				}
			}
		}
	}
	if ms > 3000 || most > maxTests {
		t.Errorf("all links are known to be sound after %d ms, with %d tests together; want 2000 ms and %d at most", ms-1000, most, maxTests)
	}
}

// TestChoose guards against requests that are given to a daemon without room or with an older configuration.
func TestChoose(t *testing.T) {
	for _, c := range cases.Load[helperCase](t, "testdata/helpers.yaml") {
		need := Need{DataCentre: "a", Config: 5, Tried: map[string]bool{}, Now: at(2000)}
		for _, name := range c.Tried {
			need.Tried[name] = true
		}
		var helpers []Helper
		for _, h := range c.Helpers {
			helpers = append(helpers, Helper{
				Name: h.Name, DataCentre: h.DataCentre, Config: h.Config, Room: h.Room, Given: h.Given, HeardAt: at(2000 - h.AgeMilliseconds),
			})
		}
		if got, ok := Choose(helpers, need, c.Random); got.Name != c.Want || ok != (c.Want != "") {
			t.Errorf("%s: chose %q, %v; want %q", c.Name, got.Name, ok, c.Want)
		}
	}
}

// TestJudge guards against requests of others that a daemon takes although it can't serve them, or an older configuration
// would decide on them.
func TestJudge(t *testing.T) {
	for _, c := range cases.Load[offerCase](t, "testdata/offers.yaml") {
		got := Judge(Offer{Known: c.Known, Config: 5}, Server{
			Ready: c.Ready, Draining: c.Draining, Config: c.Config, Links: c.Links, Serving: c.Serving, Room: c.Room,
		})
		if got != c.Want {
			t.Errorf("%s: %q, want %q", c.Name, got, c.Want)
		}
	}
}

// TestRoom guards against small daemons that take over more than they can serve.
func TestRoom(t *testing.T) {
	var limits intake.Limits
	limits.Connections[intake.Control] = 40
	for cores, want := range map[float64]int{0.001: 1, 0.05: 15, 0.09: 27, 8: 30} {
		if got := Room(cores, limits); got != want {
			t.Errorf("%v cores: room for %d requests, want %d", cores, got, want)
		}
	}
}
