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
	Evacuated   []string           `yaml:"Evacuated"`
	Held        []string           `yaml:"Held"`
	Want        map[string]int     `yaml:"Want"`
	Starts      []string           `yaml:"Starts"`
	Ends        []string           `yaml:"Ends"`
	EndsAtOnce  []string           `yaml:"EndsAtOnce"`
}

var testStart = time.Unix(1_000_000, 0)

// TestMain fixes the seed, so that every run has the same result.
func TestMain(m *testing.M) { search.Main(m, 1) }

func parseKind(name string) Kind {
	centre, market, _ := strings.Cut(name, " ")
	return Kind{DataCentre: centre, Class: "gpu", Market: map[string]wire.Market{"r": wire.Reclaimable, "o": wire.OnDemand}[market]}
}

func parsePrices(prices map[string]float64) []wire.Price {
	var offers []wire.Price
	for _, name := range slices.Sorted(maps.Keys(prices)) {
		k := parseKind(name)
		offers = append(offers, wire.Price{DataCentre: k.DataCentre, Class: k.Class, Market: k.Market, PerHour: prices[name]})
	}
	return offers
}

// TestPlanCases guards the planning rules against regressions; each case covers one rule.
func TestPlanCases(t *testing.T) {
	for _, c := range cases.Load[planCase](t, "testdata/plan.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			view := View{
				Time: testStart, Owner: "us", Daemons: []string{"e1", "e2"}, Prices: parsePrices(c.Prices), Evacuated: c.Evacuated, Settings: DefaultSettings(time.Minute),
				Versions: []VersionDemand{{
					Row:      table.Version{Name: "v1", Kind: table.Model, Class: "gpu", MinReplicas: c.Min, MaxReplicas: c.Max, MaxPrice: c.MaxPrice},
					Replicas: c.Demand, CoversWindow: !c.Unsettled,
				}},
			}
			view.Settings.MaxStarting, view.Settings.Reserve = c.MaxStarting, cmp.Or(c.Reserve, 1)
			for _, name := range c.Refused {
				view.State = view.State.WithRefused(parseKind(name), testStart.Add(time.Hour))
			}
			for _, text := range c.Held {
				var number int
				var centre, market, state string
				_, _ = fmt.Sscan(text, &number, &centre, &market, &state)
				k := parseKind(centre + " " + market)
				view.Instances = append(view.Instances, wire.Instance{
					ID: fmt.Sprintf("i-%d", number), DataCentre: centre, Class: "gpu", Market: k.Market, Owner: "us", ClientToken: ClientToken("us", "v1", number, 1),
					State: map[string]wire.InstanceState{"l": wire.Live, "s": wire.Starting, "k": wire.Starting, "v": wire.Leaving}[state],
				})
				if state == "k" {
					view.Instances[len(view.Instances)-1].Started = testStart.Add(-time.Hour)
				}
			}
			plan := Make(view)
			got, starts, ends, endsAtOnce := map[string]int{}, []string{}, []string{}, []string{}
			for _, s := range plan.Slots {
				got[s.Kind.DataCentre+" "+strings.ToLower(string(s.Kind.Market[:1]))]++
			}
			for _, s := range plan.Starts {
				starts = append(starts, fmt.Sprintf("%d/%d", s.Slot.Number, s.Slot.Generation))
			}
			for _, e := range plan.Ends {
				endsAtOnce = append(endsAtOnce, e.Order.ID)
				view.Instances = slices.DeleteFunc(view.Instances, func(i wire.Instance) bool { return i.ID == e.Order.ID })
			}
			view.State, view.Time = plan.State, testStart.Add(view.Settings.Grace)
			for _, e := range Make(view).Ends {
				ends = append(ends, e.Order.ID)
			}
			slices.Sort(ends)
			if !slices.Equal(endsAtOnce, c.EndsAtOnce) || !maps.Equal(got, c.Want) || !slices.Equal(starts, c.Starts) || !slices.Equal(ends, c.Ends) {
				t.Fatalf("planned %v, starts %v, immediate ends %v, ends after the grace time %v; want %v, %v, %v, %v", got, starts, endsAtOnce, ends, c.Want, c.Starts, c.EndsAtOnce, c.Ends)
			}
		})
	}
}

// TestMixIsCheapest compares cheapestMix with an exhaustive search over all sets of held
// instances and all counts of new ones. It guards against mixes that miss the reserve, exceed
// the limit or cost more than necessary.
func TestMixIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []candidate
		kinds := rapid.SampledFrom([]string{"a r", "b r", "c r", "a o"})
		for _, name := range rapid.SliceOfNDistinct(kinds, 0, 4, rapid.ID).Draw(t, "offers") {
			price := float64(rapid.IntRange(1, 4).Draw(t, "price"))
			candidates = append(candidates, candidate{kind: parseKind(name), price: price, effectivePrice: price})
		}
		for n, name := range rapid.SliceOfN(kinds, 0, 4).Draw(t, "held") {
			price := float64(rapid.IntRange(1, 4).Draw(t, "price"))
			candidates = append(candidates, candidate{kind: parseKind(name), price: price, effectivePrice: price * 0.85, held: &heldSlot{key: slotKey{"v1", n + 1}}})
		}
		size := rapid.IntRange(0, 4).Draw(t, "size")
		required := requirement{size: size, survivors: rapid.IntRange(0, size).Draw(t, "survivors"), limit: rapid.SampledFrom([]int{0, size, size + 2}).Draw(t, "limit")}
		lowest, maxSize := math.Inf(1), cmp.Or(required.limit, 8)
		var search func(n, count int, effectivePrice float64, lost [3]int)
		search = func(n, count int, effectivePrice float64, lost [3]int) {
			if n == len(candidates) {
				if count >= required.size && count-max(lost[0], lost[1], lost[2]) >= required.survivors {
					lowest = min(lowest, effectivePrice)
				}
				return
			}
			c := candidates[n]
			for add := 0; count+add <= maxSize && (c.held == nil || add <= 1); add++ {
				next := lost
				if c.kind.Market == wire.Reclaimable {
					next[c.kind.DataCentre[0]-'a'] += add
				}
				search(n+1, count+add, effectivePrice+float64(add)*c.effectivePrice, next)
			}
		}
		search(0, 0, 0, [3]int{})
		got := cheapestMix(slices.Clone(candidates), required)
		met := got.size >= required.size && got.size-got.loss >= required.survivors
		if met == math.IsInf(lowest, 1) || (met && math.Abs(got.effectivePrice-lowest) > 1e-9) || (required.limit > 0 && got.size > required.limit) {
			t.Fatalf("chose %+v for %+v from %+v; the lowest effective price is %g", got, required, candidates, lowest)
		}
	})
}

// fakeCloud is a cloud that starts at most one instance for each client token.
type fakeCloud struct {
	instances []*wire.Instance
}

// start returns the instance of the order's client token, and starts one if there is none.
func (c *fakeCloud) start(order wire.StartOrder) wire.Instance {
	for _, i := range c.instances {
		if i.ClientToken == order.ClientToken {
			return *i
		}
	}
	i := &wire.Instance{
		ID: fmt.Sprintf("i-%d", len(c.instances)), DataCentre: order.DataCentre, Class: order.Class, Market: order.Market, Owner: order.Owner,
		ClientToken: order.ClientToken, State: wire.Starting, Versions: []string{order.Version},
	}
	c.instances = append(c.instances, i)
	return *i
}

// list returns the instances that have not ended.
func (c *fakeCloud) list(ended map[string]bool) []wire.Instance {
	var list []wire.Instance
	for _, i := range c.instances {
		if !ended[i.ID] {
			list = append(list, *i)
		}
	}
	return list
}

// TestDaemonsWithDivergingViews guards against a second instance for a slot, more instances than
// MaxReplicas, and the end of an instance of another owner. Two daemons plan with stale lists and
// with different demand, prices, refusals and state. Each sends the orders of all slots, and orders
// may be delayed or lose their answers.
func TestDaemonsWithDivergingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxReplicas = 6
		cloud, ended := &fakeCloud{}, map[string]bool{}
		for _, owner := range []string{"", "others"} {
			cloud.instances = append(cloud.instances, &wire.Instance{ID: "foreign" + owner, Owner: owner, State: wire.Live, ClientToken: ClientToken("us", "v1", 1, 1000) + owner})
		}
		var states [2]State
		var lists [2][]wire.Instance
		var late []wire.StartOrder
		now := testStart
		t.Repeat(map[string]func(*rapid.T){
			"refresh": func(t *rapid.T) { lists[rapid.IntRange(0, 1).Draw(t, "daemon")] = cloud.list(ended) },
			"restart": func(t *rapid.T) { states[rapid.IntRange(0, 1).Draw(t, "daemon")] = State{} },
			"time":    func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute) },
			"plan": func(t *rapid.T) {
				d := rapid.IntRange(0, 1).Draw(t, "daemon")
				prices := map[string]float64{}
				for _, k := range []string{"a r", "b r", "c r", "a o"} {
					prices[k] = float64(rapid.IntRange(1, 4).Draw(t, "price"))
				}
				row := table.Version{Name: "v1", Kind: table.Model, Class: "gpu", MaxReplicas: maxReplicas}
				plan := Make(View{
					Time: now, Owner: "us", Daemons: []string{"e1"}, Prices: parsePrices(prices), Instances: lists[d], State: states[d], Settings: DefaultSettings(time.Minute),
					Versions: []VersionDemand{{Row: row, Replicas: float64(rapid.IntRange(0, maxReplicas+1).Draw(t, "demand")), CoversWindow: true}},
				})
				states[d] = plan.State
				for _, s := range plan.Starts {
					switch rapid.SampledFrom([]string{"answered", "lost", "late", "refused"}).Draw(t, "outcome") {
					case "answered":
						states[d], _ = states[d].WithAnswer("us", cloud.start(s.Order))
					case "lost":
						cloud.start(s.Order)
					case "late":
						late = append(late, s.Order)
					case "refused":
						states[d] = states[d].WithRefused(s.Slot.Kind, now.Add(time.Minute))
					}
				}
				for _, e := range plan.Ends {
					for _, i := range cloud.instances {
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
				for _, i := range cloud.instances {
					if i.State == wire.Starting {
						i.State = wire.Live
					}
				}
			},
			"reclaim": func(t *rapid.T) {
				centre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
				for _, i := range cloud.instances {
					if i.DataCentre == centre && i.Market == wire.Reclaimable {
						i.State = wire.Leaving
						ended[i.ID] = rapid.Bool().Draw(t, "gone")
					}
				}
			},
			"": func(t *rapid.T) {
				slots := map[slotKey]string{}
				for _, i := range cloud.instances {
					if i.Owner != "us" {
						if i.State != wire.Live {
							t.Fatalf("instance %s of owner %q was ended", i.ID, i.Owner)
						}
						continue
					}
					key, _, _ := parseClientToken("us", i.ClientToken)
					if i.State == wire.Leaving {
						continue
					}
					if slots[key] != "" {
						t.Fatalf("slot %v has two instances, %s and %s", key, slots[key], i.ID)
					}
					slots[key] = i.ID
				}
				if len(slots) > maxReplicas {
					t.Fatalf("%d instances are held; MaxReplicas is %d", len(slots), maxReplicas)
				}
			},
		})
	})
}

// TestDemandCoversTheWindow compares the demand with the peak of all samples. It guards against
// peaks that are dropped within the window or kept after the window and the decline.
func TestDemandCoversTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DemandSettings{Window: 2 * time.Hour, Decay: time.Hour}
		demand, now, windowPeak, declinePeak := NewDemand(settings, testStart), testStart, 0.0, 0.0
		type observation struct {
			at       time.Time
			replicas float64
		}
		var observations []observation
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
			running := rapid.IntRange(0, 200).Draw(t, "running")
			demand = demand.With(LoadSample{Time: now, Version: "v1", Running: float64(running), RequestsPerReplica: 10})
			observations = append(observations, observation{now, float64(running) / 10})
		}
		for _, s := range observations {
			if now.Sub(s.at) <= settings.Window {
				windowPeak = max(windowPeak, s.replicas)
			}
			if now.Sub(s.at) <= settings.Window+settings.Decay+settings.Window/windowBuckets {
				declinePeak = max(declinePeak, s.replicas)
			}
		}
		if got := demand.Replicas("v1", now); got < windowPeak || got > declinePeak {
			t.Fatalf("demand is %g; the peak is %g in the window and %g including the decline", got, windowPeak, declinePeak)
		}
	})
}

// TestAllocatedCostAddsUp guards against cost that is allocated twice or lost.
func TestAllocatedCostAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.Float64Range(0, 1e9)
		byAccount := map[string]TokenUsage{}
		for _, a := range rapid.SliceOfN(rapid.StringMatching("[a-e]"), 0, 5).Draw(t, "accounts") {
			byAccount[a] = TokenUsage{Generated: count.Draw(t, "generated"), Prompt: count.Draw(t, "prompt")}
		}
		sum := 0.0
		for account, part := range AllocateCost(100, byAccount) {
			if _, known := byAccount[account]; part < 0 || (!known && account != Unallocated) {
				t.Fatalf("account %q has a cost of %g", account, part)
			}
			sum += part
		}
		if math.Abs(sum-100) > 1e-6 {
			t.Fatalf("the allocated costs add up to %g, want 100", sum)
		}
	})
}
