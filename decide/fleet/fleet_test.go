package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"

	"lentilstage.dev/decide/cases"

	"lentilstage.dev/decide/search"
)

type planCase struct {
	Name        string             `yaml:"Name"`
	Demand      float64            `yaml:"Demand"`
	Reserve     float64            `yaml:"Reserve"`
	Unsettled   bool               `yaml:"Unsettled"`
	Min         int                `yaml:"Min"`
	Max         int                `yaml:"Max"`
	MaxPrice    float64            `yaml:"MaxPrice"`
	MaxStarting int                `yaml:"MaxStarting"`
	Prices      map[string]float64 `yaml:"Prices"`
	Refused     []string           `yaml:"Refused"`
	Held        []string           `yaml:"Held"`
	Want        map[string]int     `yaml:"Want"`
	Starts      []string           `yaml:"Starts"`
	Ends        []string           `yaml:"Ends"`
	EndsAtOnce  []string           `yaml:"EndsAtOnce"`
}

var begin = time.Unix(1_000_000, 0)

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) { search.Main(m, 1) }

func kindNamed(name string) Kind {
	centre, market, _ := strings.Cut(name, " ")
	return Kind{DataCentre: centre, Class: "gpu", Market: map[string]wire.Market{"r": wire.Reclaimable, "o": wire.OnDemand}[market]}
}

func offersOf(prices map[string]float64) []wire.Price {
	var offers []wire.Price
	for _, name := range slices.Sorted(maps.Keys(prices)) {
		k := kindNamed(name)
		offers = append(offers, wire.Price{DataCentre: k.DataCentre, Class: k.Class, Market: k.Market, PerHour: prices[name]})
	}
	return offers
}

// TestPlanCases guards the rules of the plan, a case each, against being lost in a change.
func TestPlanCases(t *testing.T) {
	for _, c := range cases.Load[planCase](t, "testdata/plan.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			view := View{
				Time: begin, Owner: "us", Daemons: []string{"e1", "e2"}, Prices: offersOf(c.Prices), Settings: DefaultSettings(time.Minute),
				Versions: []VersionDemand{{
					Row:      table.Version{Name: "v1", Kind: table.Model, Class: "gpu", MinReplicas: c.Min, MaxReplicas: c.Max, MaxPrice: c.MaxPrice},
					Replicas: c.Demand, Settled: !c.Unsettled,
				}},
			}
			view.Settings.MaxStarting, view.Settings.Reserve = c.MaxStarting, cmp.Or(c.Reserve, 1)
			for _, name := range c.Refused {
				view.Memory = view.Memory.WithRefused(kindNamed(name), begin.Add(time.Hour))
			}
			for _, text := range c.Held {
				var number int
				var centre, market, state string
				_, _ = fmt.Sscan(text, &number, &centre, &market, &state)
				k := kindNamed(centre + " " + market)
				view.Instances = append(view.Instances, wire.Instance{
					ID: fmt.Sprintf("i-%d", number), DataCentre: centre, Class: "gpu", Market: k.Market, Owner: "us", ClientToken: Token("us", "v1", number, 1),
					State: map[string]wire.InstanceState{"l": wire.Live, "s": wire.Starting, "k": wire.Starting, "v": wire.Leaving}[state],
				})
				if state == "k" {
					view.Instances[len(view.Instances)-1].Started = begin.Add(-time.Hour)
				}
			}
			plan := Make(view)
			got, starts, ends, atOnce := map[string]int{}, []string{}, []string{}, []string{}
			for _, s := range plan.Slots {
				got[s.Kind.DataCentre+" "+strings.ToLower(string(s.Kind.Market[:1]))]++
			}
			for _, s := range plan.Starts {
				starts = append(starts, fmt.Sprintf("%d/%d", s.Slot.Number, s.Slot.Generation))
			}
			for _, e := range plan.Ends {
				atOnce = append(atOnce, e.Order.ID)
				view.Instances = slices.DeleteFunc(view.Instances, func(i wire.Instance) bool { return i.ID == e.Order.ID })
			}
			view.Memory, view.Time = plan.Memory, begin.Add(view.Settings.Grace)
			for _, e := range Make(view).Ends {
				ends = append(ends, e.Order.ID)
			}
			slices.Sort(ends)
			if !slices.Equal(atOnce, c.EndsAtOnce) || !maps.Equal(got, c.Want) || !slices.Equal(starts, c.Starts) || !slices.Equal(ends, c.Ends) {
				t.Fatalf("planned %v, starts %v, ends at once %v and after the grace time %v; want %v, %v, %v, %v", got, starts, atOnce, ends, c.Want, c.Starts, c.EndsAtOnce, c.Ends)
			}
		})
	}
}

// TestMixIsTheCheapest compares the choice with a search over all sets of held instances and
// all counts of new ones. It guards against a lost reserve, a passed bound and a dearer
// choice than needed.
func TestMixIsTheCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var units []unit
		kinds := rapid.SampledFrom([]string{"a r", "b r", "c r", "a o"})
		for _, name := range rapid.SliceOfNDistinct(kinds, 0, 4, rapid.ID).Draw(t, "offers") {
			price := float64(rapid.IntRange(1, 4).Draw(t, "price"))
			units = append(units, unit{kind: kindNamed(name), price: price, compared: price})
		}
		for n, name := range rapid.SliceOfN(kinds, 0, 4).Draw(t, "held") {
			price := float64(rapid.IntRange(1, 4).Draw(t, "price"))
			units = append(units, unit{kind: kindNamed(name), price: price, compared: price * 0.85, held: &slotState{key: slotKey{"v1", n + 1}}})
		}
		size := rapid.IntRange(0, 4).Draw(t, "size")
		r := requirement{size: size, survivors: rapid.IntRange(0, size).Draw(t, "survivors"), limit: rapid.SampledFrom([]int{0, size, size + 2}).Draw(t, "limit")}
		least, most := math.Inf(1), cmp.Or(r.limit, 8)
		var search func(n, count int, compared float64, lost [3]int)
		search = func(n, count int, compared float64, lost [3]int) {
			if n == len(units) {
				if count >= r.size && count-max(lost[0], lost[1], lost[2]) >= r.survivors {
					least = min(least, compared)
				}
				return
			}
			u := units[n]
			for add := 0; count+add <= most && (u.held == nil || add <= 1); add++ {
				next := lost
				if u.kind.Market == wire.Reclaimable {
					next[u.kind.DataCentre[0]-'a'] += add
				}
				search(n+1, count+add, compared+float64(add)*u.compared, next)
			}
		}
		search(0, 0, 0, [3]int{})
		got := cheapest(slices.Clone(units), r)
		met := got.size >= r.size && got.size-got.loss >= r.survivors
		if met == math.IsInf(least, 1) || (met && math.Abs(got.compared-least) > 1e-9) || (r.limit > 0 && got.size > r.limit) {
			t.Fatalf("chose %+v for %+v from %+v; the least compared cost is %g", got, r, units, least)
		}
	})
}

// cloudModel is the oracle's cloud: it keeps one instance for each token.
type cloudModel struct {
	all []*wire.Instance
}

func (c *cloudModel) start(order wire.StartOrder) wire.Instance {
	for _, i := range c.all {
		if i.ClientToken == order.ClientToken {
			return *i
		}
	}
	i := &wire.Instance{
		ID: fmt.Sprintf("i-%d", len(c.all)), DataCentre: order.DataCentre, Class: order.Class, Market: order.Market, Owner: order.Owner,
		ClientToken: order.ClientToken, State: wire.Starting, Versions: []string{order.Version},
	}
	c.all = append(c.all, i)
	return *i
}

// list returns the instances that have not ended.
func (c *cloudModel) list(ended map[string]bool) []wire.Instance {
	var list []wire.Instance
	for _, i := range c.all {
		if !ended[i.ID] {
			list = append(list, *i)
		}
	}
	return list
}

// TestDaemonsWithDifferingViews lets two daemons with stale lists, own demand, prices,
// refusals and memories send orders, all of which may be late or lose their answers. It
// guards against a second instance for a slot, more instances than MaxReplicas, and an end
// of somebody else's instance. Each daemon takes itself for the sender of all slots.
func TestDaemonsWithDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 6
		cloud, ended := &cloudModel{}, map[string]bool{}
		for _, owner := range []string{"", "others"} {
			cloud.all = append(cloud.all, &wire.Instance{ID: "foreign" + owner, Owner: owner, State: wire.Live, ClientToken: Token("us", "v1", 1, 1000) + owner})
		}
		var memories [2]Memory
		var lists [2][]wire.Instance
		var late []wire.StartOrder
		now := begin
		t.Repeat(map[string]func(*rapid.T){
			"refresh": func(t *rapid.T) { lists[rapid.IntRange(0, 1).Draw(t, "daemon")] = cloud.list(ended) },
			"restart": func(t *rapid.T) { memories[rapid.IntRange(0, 1).Draw(t, "daemon")] = Memory{} },
			"time":    func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute) },
			"plan": func(t *rapid.T) {
				d := rapid.IntRange(0, 1).Draw(t, "daemon")
				prices := map[string]float64{}
				for _, k := range []string{"a r", "b r", "c r", "a o"} {
					prices[k] = float64(rapid.IntRange(1, 4).Draw(t, "price"))
				}
				row := table.Version{Name: "v1", Kind: table.Model, Class: "gpu", MaxReplicas: most}
				plan := Make(View{
					Time: now, Owner: "us", Daemons: []string{"e1"}, Prices: offersOf(prices), Instances: lists[d], Memory: memories[d], Settings: DefaultSettings(time.Minute),
					Versions: []VersionDemand{{Row: row, Replicas: float64(rapid.IntRange(0, most+1).Draw(t, "demand")), Settled: true}},
				})
				memories[d] = plan.Memory
				for _, s := range plan.Starts {
					switch rapid.SampledFrom([]string{"answered", "lost", "late", "refused"}).Draw(t, "outcome") {
					case "answered":
						memories[d], _ = memories[d].WithAnswer("us", cloud.start(s.Order))
					case "lost":
						cloud.start(s.Order)
					case "late":
						late = append(late, s.Order)
					case "refused":
						memories[d] = memories[d].WithRefused(s.Slot.Kind, now.Add(time.Minute))
					}
				}
				for _, e := range plan.Ends {
					for _, i := range cloud.all {
						if i.ID == e.Order.ID {
							i.State = wire.Leaving
							ended[i.ID] = rapid.Bool().Draw(t, "gone")
						}
					}
				}
			},
			"arrive": func(*rapid.T) {
				for _, order := range late {
					cloud.start(order)
				}
				late = nil
			},
			"live": func(*rapid.T) {
				for _, i := range cloud.all {
					if i.State == wire.Starting {
						i.State = wire.Live
					}
				}
			},
			"reclaim": func(t *rapid.T) {
				centre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
				for _, i := range cloud.all {
					if i.DataCentre == centre && i.Market == wire.Reclaimable {
						i.State = wire.Leaving
						ended[i.ID] = rapid.Bool().Draw(t, "gone")
					}
				}
			},
			"": func(t *rapid.T) {
				slots := map[slotKey]string{}
				for _, i := range cloud.all {
					if i.Owner != "us" {
						if i.State != wire.Live {
							t.Fatalf("instance %s of owner %q was ended", i.ID, i.Owner)
						}
						continue
					}
					key, _, _ := parseToken("us", i.ClientToken)
					if i.State == wire.Leaving {
						continue
					}
					if slots[key] != "" {
						t.Fatalf("slot %v has the instances %s and %s", key, slots[key], i.ID)
					}
					slots[key] = i.ID
				}
				if len(slots) > most {
					t.Fatalf("%d instances are held; the row allows %d", len(slots), most)
				}
			},
		})
	})
}

// TestDemandCoversTheWindow compares the demand with a search over all samples. It guards
// against a peak that is forgotten within the window or kept after window and decline.
func TestDemandCoversTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DemandSettings{Window: 2 * time.Hour, Decline: time.Hour}
		demand, now, within, kept := NewDemand(settings, begin), begin, 0.0, 0.0
		type seen struct {
			at       time.Time
			replicas float64
		}
		var all []seen
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
			running := rapid.IntRange(0, 200).Draw(t, "running")
			demand = demand.With(Sample{Time: now, Version: "v1", Running: float64(running), PerReplica: 10})
			all = append(all, seen{now, float64(running) / 10})
		}
		for _, s := range all {
			if now.Sub(s.at) <= settings.Window {
				within = max(within, s.replicas)
			}
			if now.Sub(s.at) <= settings.Window+settings.Decline+settings.Window/windowParts {
				kept = max(kept, s.replicas)
			}
		}
		if got := demand.Replicas("v1", now); got < within || got > kept {
			t.Fatalf("demand is %g; the peak of the window is %g and that with the decline %g", got, within, kept)
		}
	})
}

// TestSpendAddsUp guards against cost that is shared out twice or lost.
func TestSpendAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.Float64Range(0, 1e9)
		byAccount := map[string]Tokens{}
		for _, a := range rapid.SliceOfN(rapid.StringMatching("[a-e]"), 0, 5).Draw(t, "accounts") {
			byAccount[a] = Tokens{Generated: count.Draw(t, "generated"), Prompt: count.Draw(t, "prompt")}
		}
		sum := 0.0
		for account, part := range Spend(100, byAccount) {
			if _, known := byAccount[account]; part < 0 || (!known && account != Unshared) {
				t.Fatalf("account %q has the part %g", account, part)
			}
			sum += part
		}
		if math.Abs(sum-100) > 1e-6 {
			t.Fatalf("the parts add up to %g of 100", sum)
		}
	})
}
