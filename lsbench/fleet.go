package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"lentilstage.dev/decide/fleet"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

type (
	// fleetCommand compares the capacity plan with baselines over days of seeded demand.
	fleetCommand struct {
		seed    uint64
		days    int
		reserve float64
		window  time.Duration
		decline time.Duration
		keep    float64
	}

	// fleetScenario holds the inputs that do not depend on a controller's actions, with a value for
	// each step: demand, prices, reclaim waves and refused starts. All runs of a seed share it.
	fleetScenario struct {
		peak   int
		demand []float64
		// price is the price per hour of an instance and refusedStarts reports whether starts are
		// refused, by kind and step.
		price         [][]float64
		refusedStarts [][]bool
		// reclaimWave is the data centre that is reclaimed at a step, or -1, and noticeSteps the
		// length of the notice.
		reclaimWave []int
		noticeSteps []int
		// orphan marks the steps at which an instance appears that has the owner tag but no slot of
		// the plan.
		orphan []bool
	}

	// fleetInstance is an instance in the simulated cloud. It becomes live at step live and, once
	// it is leaving, stops at endStep.
	fleetInstance struct {
		wire.Instance
		kind          int
		live, endStep int
	}

	// fleetCloud simulates the cloud's instances, refused starts and lost answers.
	fleetCloud struct {
		scenario      *fleetScenario
		random        *rand.Rand
		held          []*fleetInstance
		byToken       map[string]*fleetInstance
		starts        int
		refusedStarts int
		lostAnswers   int
	}

	// fleetResult holds the totals of one run. Demand and served demand are in replica steps.
	fleetResult struct {
		name                     string
		cost, served, demanded   float64
		duplicates               int
		orphanHours              float64
		starts, refusedStarts    int
		lostAnswers, ends        int
		meanHeld                 float64
		worstHour                float64
		hourServed, hourDemanded float64
	}

	// fleetController starts and ends instances at each step. It returns the number of instances that
	// it has ended.
	fleetController func(step int, cloud *fleetCloud) (ends int)

	// fleetPlanner is a daemon that runs the capacity plan.
	fleetPlanner struct {
		name   string
		memory fleet.State
		demand fleet.Demand
		// listLag is the age of the daemon's instance list in steps.
		listLag int
		lists   [][]wire.Instance
	}
)

const (
	fleetStep         = 5 * time.Second
	fleetStepsPerHour = int(time.Hour / fleetStep)
	fleetStepsPerDay  = 24 * fleetStepsPerHour
	// fleetColdStart is longer than any peak of the demand.
	fleetColdStart          = 5 * time.Minute
	fleetRequestsPerReplica = 8.0
	fleetClass              = "gpu"
	fleetOwner              = "bench"
	fleetVersion            = "model"
	// fleetAnswerLossRate is the probability that the answer to a start order is lost after the
	// order took effect.
	fleetAnswerLossRate = 0.05
	fleetCentres        = 3
)

var (
	fleetStart = time.Unix(1_700_000_000, 0).UTC()
	// fleetOnDemandPrices are the prices per hour of on-demand instances by data centre.
	fleetOnDemandPrices = [fleetCentres]float64{3, 3.1, 3.3}
)

// Name returns the command's name.
func (*fleetCommand) Name() string { return "fleet" }

// Synopsis returns the command's short description.
func (*fleetCommand) Synopsis() string {
	return "compare the cost of the capacity plan with baselines"
}

// Usage returns the command's usage.
func (*fleetCommand) Usage() string {
	return "fleet [-seed N] [-days N] [-reserve FRACTION] [-keep FACTOR] [-window PERIOD] [-decline PERIOD]\n"
}

// SetFlags defines the command's flags.
func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "draw demand, prices and faults from `SEED`")
	settings, demand := fleet.DefaultSettings(fleetColdStart), fleet.DefaultDemandSettings()
	f.IntVar(&c.days, "days", 4, "number of `DAYS`")
	f.Float64Var(&c.reserve, "reserve", settings.Reserve, "`FRACTION` of the needed replicas that must remain after the loss of a data centre")
	f.Float64Var(&c.keep, "keep", settings.HeldPriceFactor, "`FACTOR` on the price of running instances in price comparisons")
	f.DurationVar(&c.window, "window", demand.Window, "`PERIOD` of the trailing peak")
	f.DurationVar(&c.decline, "decline", demand.Decay, "`PERIOD` over which a peak decays after the window")
}

// Execute runs both sizes and prints their tables. It fails if any run has duplicate instances.
func (c *fleetCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.days < 1 || c.days > 60 || c.reserve < 0 || c.reserve > 1 || c.window < time.Minute || c.decline < 0 || c.keep <= 0 {
		return subcommands.ExitUsageError
	}
	for _, peak := range []int{20, 12} {
		results := c.runAll(peak)
		if err := c.print(os.Stdout, peak, results); err != nil {
			return subcommands.ExitFailure
		}
		for _, r := range results {
			if r.duplicates > 0 {
				return subcommands.ExitFailure
			}
		}
	}
	return subcommands.ExitSuccess
}

// runAll runs the plan and the baselines on the same scenario.
func (c *fleetCommand) runAll(peak int) []fleetResult {
	scenario := newFleetScenario(peak, c.days*fleetStepsPerDay, rand.New(rand.NewPCG(c.seed, uint64(peak))))
	run := func(name string, orphans bool, control fleetController) fleetResult {
		return scenario.run(name, orphans, rand.New(rand.NewPCG(c.seed, 77)), control)
	}
	return []fleetResult{
		run("plan", true, c.planController(scenario, true)),
		run("all on demand", true, c.planController(scenario, false)),
		run(fmt.Sprintf("fixed %d reclaimable", peak), false, fixedFleet(peak)),
		run(fmt.Sprintf("fixed %d reclaimable", peak*3/2), false, fixedFleet(peak*3/2)),
	}
}

func (c *fleetCommand) print(out io.Writer, peak int, results []fleetResult) error {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet: seed %d, %d days, peak %d replicas, %d data centres, cold start %s, reserve %.2f, keep %g, window %s, decline %s\n",
		c.seed, c.days, peak, fleetCentres, fleetColdStart, c.reserve, c.keep, c.window, c.decline)
	fmt.Fprintf(&text, "%-22s %12s %9s %9s %10s %9s %8s %8s %7s %8s %8s %7s\n", "strategy", "cost/target", "cost", "served", "worst hour", "mean held",
		"doubled", "orphan h", "starts", "refused", "lost ans", "ended")
	for _, r := range results {
		fmt.Fprintf(&text, "%-22s %12.1f %9.1f %8.3f%% %9.2f%% %9.1f %8d %8.2f %7d %8d %8d %7d\n", r.name, r.cost/(r.served/r.demanded), r.cost,
			100*r.served/r.demanded, 100*r.worstHour, r.meanHeld, r.duplicates, r.orphanHours, r.starts, r.refusedStarts, r.lostAnswers, r.ends)
	}
	_, err := io.WriteString(out, text.String()+"\n")
	return err
}

// newFleetScenario draws a scenario: demand with a daily cycle and peaks shorter than the cold
// start, prices that change every hour, and reclaim waves after which starts are refused.
func newFleetScenario(peak, steps int, random *rand.Rand) *fleetScenario {
	sc := &fleetScenario{
		peak: peak, demand: make([]float64, steps), reclaimWave: make([]int, steps), noticeSteps: make([]int, steps), orphan: make([]bool, steps),
		price: make([][]float64, 2*fleetCentres), refusedStarts: make([][]bool, 2*fleetCentres),
	}
	for s := range steps {
		hour := float64(s%fleetStepsPerDay) / float64(fleetStepsPerHour)
		day := math.Max(0, math.Sin((hour-7)/11*math.Pi))
		if hour < 7 || hour > 18 {
			day = 0
		}
		sc.demand[s] = float64(peak) * (0.12 + 0.38*day) * (0.95 + 0.1*random.Float64())
		sc.reclaimWave[s] = -1
	}
	// Draw about 3 peaks per hour by day and 1 in 3 hours by night.
	for s := 0; s < steps; s++ {
		rate := 0.33
		if hour := s % fleetStepsPerDay / fleetStepsPerHour; hour >= 8 && hour < 18 {
			rate = 3
		}
		if random.Float64() >= rate/float64(fleetStepsPerHour) {
			continue
		}
		length := 12 + random.IntN(28)
		height := float64(peak) * (0.5 + 0.5*random.Float64())
		if rate < 1 {
			height /= 2
		}
		for n := s; n < min(s+length, steps); n++ {
			sc.demand[n] = math.Max(sc.demand[n], height)
		}
	}
	for k := range sc.price {
		sc.price[k], sc.refusedStarts[k] = sc.drawPrices(k, steps, random), make([]bool, steps)
		for s := 0; s < steps; s++ {
			// Draw about two periods per day in which the cloud has no capacity of the kind.
			if random.Float64() < 2/float64(fleetStepsPerDay) {
				sc.addRefusals(k, s, 60+random.IntN(360))
			}
		}
	}
	for s := range steps {
		if random.Float64() < 1.5/float64(fleetStepsPerDay) {
			centre := random.IntN(fleetCentres)
			sc.reclaimWave[s], sc.noticeSteps[s] = centre, 2+random.IntN(10)
			sc.addRefusals(centre, s, 120+random.IntN(600))
		}
		sc.orphan[s] = random.Float64() < 1/float64(fleetStepsPerDay)
	}
	return sc
}

// drawPrices returns the price of a kind at each step. Kinds below fleetCentres are reclaimable, the
// others on demand.
func (sc *fleetScenario) drawPrices(kind, steps int, random *rand.Rand) []float64 {
	prices := make([]float64, steps)
	// The price reverts to a mean of a third to a half of the on-demand price.
	meanPrice := 1 + 0.5*random.Float64()
	price := meanPrice
	for s := range steps {
		if kind >= fleetCentres {
			prices[s] = fleetOnDemandPrices[kind-fleetCentres]
			continue
		}
		if s%fleetStepsPerHour == 0 {
			price = (price + (meanPrice-price)/4) * (0.85 + 0.3*random.Float64())
			if random.Float64() < 0.02 {
				price = 3.5
			}
		}
		prices[s] = price
	}
	return prices
}

func (sc *fleetScenario) addRefusals(kind, step, length int) {
	for s := step; s < min(step+length, len(sc.demand)); s++ {
		sc.refusedStarts[kind][s] = true
	}
}

// run runs a controller through the scenario and measures the cost and the served demand.
func (sc *fleetScenario) run(name string, orphans bool, random *rand.Rand, control fleetController) fleetResult {
	cloud := &fleetCloud{scenario: sc, random: random, byToken: map[string]*fleetInstance{}}
	r := fleetResult{name: name, worstHour: 1}
	for s := range sc.demand {
		if orphans && sc.orphan[s] {
			cloud.add(s, fmt.Sprintf("left-%d", s), fleetCentres)
		}
		if sc.reclaimWave[s] >= 0 {
			cloud.reclaim(s, sc.reclaimWave[s])
		}
		cloud.advance(s)
		r.ends += control(s, cloud)
		r.addStep(s, cloud)
	}
	r.starts, r.refusedStarts, r.lostAnswers = cloud.starts, cloud.refusedStarts, cloud.lostAnswers
	r.meanHeld /= float64(len(sc.demand))
	return r
}

// addStep adds the figures of one step. Leaving instances cost money and serve until they stop.
func (r *fleetResult) addStep(step int, cloud *fleetCloud) {
	hours := fleetStep.Hours()
	live := 0
	slots := make(map[string]bool)
	for _, fi := range cloud.held {
		r.cost += cloud.scenario.price[fi.kind][step] * hours
		orphan := strings.HasPrefix(fi.ClientToken, "left-")
		if step >= fi.live && !orphan {
			live++
		}
		if orphan {
			r.orphanHours += hours
		}
		if fi.State == wire.Leaving || orphan {
			continue
		}
		slot := fi.ClientToken[:strings.LastIndex(fi.ClientToken, "/")]
		if slots[slot] {
			r.duplicates++
			r.orphanHours += hours
		}
		slots[slot] = true
	}
	r.meanHeld += float64(len(cloud.held))
	demanded := cloud.scenario.demand[step]
	served := min(demanded, float64(live))
	r.demanded += demanded
	r.served += served
	r.hourDemanded += demanded
	r.hourServed += served
	if (step+1)%fleetStepsPerHour == 0 {
		// The first two hours are left out because of the initial cold start.
		if step > 2*fleetStepsPerHour {
			r.worstHour = min(r.worstHour, r.hourServed/r.hourDemanded)
		}
		r.hourServed, r.hourDemanded = 0, 0
	}
}

func fleetTime(step int) time.Time { return fleetStart.Add(time.Duration(step) * fleetStep) }

func fleetKind(kind int) fleet.Kind {
	k := fleet.Kind{DataCentre: fmt.Sprintf("dc-%d", kind%fleetCentres), Class: fleetClass, Market: wire.Reclaimable}
	if kind >= fleetCentres {
		k.Market = wire.OnDemand
	}
	return k
}

// advance marks instances live after their cold start and removes those that have stopped.
func (c *fleetCloud) advance(step int) {
	kept := c.held[:0:0]
	for _, fi := range c.held {
		if fi.State == wire.Starting && step >= fi.live {
			fi.State = wire.Live
		}
		if fi.State != wire.Leaving || step < fi.endStep {
			kept = append(kept, fi)
		}
	}
	c.held = kept
}

func (c *fleetCloud) add(step int, token string, kind int) *fleetInstance {
	k := fleetKind(kind)
	fi := &fleetInstance{
		Instance: wire.Instance{
			ID: fmt.Sprintf("i-%d", len(c.byToken)), Role: wire.RoleEngine, DataCentre: k.DataCentre, Class: k.Class, Market: k.Market,
			State: wire.Starting, Owner: fleetOwner, ClientToken: token, Versions: []string{fleetVersion}, Started: fleetTime(step),
		},
		kind: kind, live: step + int(fleetColdStart/fleetStep),
	}
	c.byToken[token] = fi
	c.held = append(c.held, fi)
	return fi
}

// start executes a start order. It returns a nil instance if the answer is lost, and false if the
// start is refused. A repeated client token returns the existing instance.
func (c *fleetCloud) start(step int, order wire.StartOrder) (*wire.Instance, bool) {
	kind := 0
	for (fleetKind(kind) != fleet.Kind{DataCentre: order.DataCentre, Class: order.Class, Market: order.Market}) {
		kind++
	}
	fi, repeated := c.byToken[order.ClientToken]
	if !repeated {
		if c.scenario.refusedStarts[kind][step] {
			c.refusedStarts++
			return nil, false
		}
		c.starts++
		fi = c.add(step, order.ClientToken, kind)
	}
	if c.random.Float64() < fleetAnswerLossRate {
		c.lostAnswers++
		return nil, true
	}
	answer := fi.Instance
	return &answer, true
}

// end ends an instance. It returns false if the instance is unknown or already leaving.
func (c *fleetCloud) end(step int, id string) bool {
	for _, fi := range c.held {
		if fi.ID == id && fi.State != wire.Leaving {
			fi.State, fi.endStep = wire.Leaving, step+1
			return true
		}
	}
	return false
}

func (c *fleetCloud) reclaim(step, centre int) {
	for _, fi := range c.held {
		if fi.kind == centre && fi.State != wire.Leaving {
			fi.State, fi.endStep = wire.Leaving, step+c.scenario.noticeSteps[step]
		}
	}
}

func (c *fleetCloud) list(step int) []wire.Instance {
	var list []wire.Instance
	for _, fi := range c.held {
		i := fi.Instance
		i.PricePerHour = c.scenario.price[fi.kind][step]
		list = append(list, i)
	}
	return list
}

// planController returns a controller that runs the capacity plan on two daemons. Their instance lists
// have different ages, and each has its own memory of the plan and of refused starts. At the start of
// each hour each daemon considers the other one dead for a time and sends all orders. Each daemon
// restarts once a day and loses its memory. If reclaimable is false, only on-demand instances are
// offered.
func (c *fleetCommand) planController(sc *fleetScenario, reclaimable bool) fleetController {
	settings := fleet.DefaultSettings(fleetColdStart)
	settings.Reserve, settings.HeldPriceFactor = c.reserve, c.keep
	demand := fleet.DefaultDemandSettings()
	demand.Window, demand.Decay = c.window, c.decline
	planners := []*fleetPlanner{{name: "entry-0", listLag: 0}, {name: "entry-1", listLag: 3}}
	for _, p := range planners {
		p.demand = fleet.NewDemand(demand, fleetStart)
	}
	row := table.Version{Name: fleetVersion, Kind: table.Model, Class: fleetClass, MinReplicas: 2, MaxReplicas: 2 * sc.peak}
	return func(step int, cloud *fleetCloud) int {
		ended := 0
		now := fleetTime(step)
		var prices []wire.Price
		for k := range sc.price {
			if kind := fleetKind(k); reclaimable || kind.Market == wire.OnDemand {
				prices = append(prices, wire.Price{DataCentre: kind.DataCentre, Class: kind.Class, Market: kind.Market, PerHour: sc.price[k][step]})
			}
		}
		for n, p := range planners {
			if step%fleetStepsPerDay == (10+6*n)*fleetStepsPerHour {
				p.memory, p.demand = fleet.State{}, fleet.NewDemand(demand, now)
			}
			p.lists = append(p.lists, cloud.list(step))
			list := p.lists[max(len(p.lists)-1-p.listLag, 0)]
			p.lists = p.lists[max(len(p.lists)-1-p.listLag, 0):]
			p.demand = p.demand.With(fleet.LoadSample{Time: now, Version: fleetVersion, Running: math.Ceil(sc.demand[step] * fleetRequestsPerReplica), RequestsPerReplica: fleetRequestsPerReplica})
			daemons := []string{"entry-0", "entry-1"}
			if step%fleetStepsPerHour < 20 {
				daemons = []string{p.name}
			}
			view := fleet.View{
				Time: now, Owner: fleetOwner, Daemons: daemons, Prices: prices, Instances: list, State: p.memory, Settings: settings,
				Versions: []fleet.VersionDemand{{Row: row, Replicas: p.demand.Replicas(fleetVersion, now), CoversWindow: p.demand.CoversWindow(now)}},
			}
			ended += p.sendOrders(step, cloud, fleet.Make(view))
		}
		return ended
	}
}

// sendOrders sends the orders of a plan that the planner is responsible for. It returns the number
// of instances that it has ended.
func (p *fleetPlanner) sendOrders(step int, cloud *fleetCloud, plan fleet.Plan) int {
	p.memory = plan.State
	for _, s := range plan.Starts {
		if s.Slot.Sender != p.name {
			continue
		}
		answer, accepted := cloud.start(step, s.Order)
		switch {
		case !accepted:
			p.memory = p.memory.WithRefused(s.Slot.Kind, fleetTime(step).Add(2*time.Minute))
		case answer != nil:
			p.memory, _ = p.memory.WithAnswer(fleetOwner, *answer)
		}
	}
	ended := 0
	for _, e := range plan.Ends {
		if e.Sender == p.name && cloud.end(step, e.Order.ID) {
			ended++
		}
	}
	return ended
}

// fixedFleet returns a controller that keeps a fixed number of reclaimable instances, spread evenly
// over the data centres, and replaces a lost one as soon as the cloud accepts a start. It has no
// limit on starts and always has a current view.
func fixedFleet(count int) fleetController {
	next := 0
	return func(step int, cloud *fleetCloud) int {
		var held [fleetCentres]int
		for _, fi := range cloud.held {
			if fi.State != wire.Leaving {
				held[fi.kind]++
			}
		}
		total := held[0] + held[1] + held[2]
		for total < count {
			centres := []int{0, 1, 2}
			slices.SortStableFunc(centres, func(a, b int) int { return cmp.Compare(held[a], held[b]) })
			started := false
			for _, centre := range centres {
				k := fleetKind(centre)
				// A data centre holds at most an even share of the count.
				if held[centre] >= (count+fleetCentres-1)/fleetCentres {
					continue
				}
				next++
				order := wire.StartOrder{ClientToken: fmt.Sprintf("fixed/%d/1", next), Owner: fleetOwner, DataCentre: k.DataCentre, Class: k.Class, Market: k.Market}
				if _, accepted := cloud.start(step, order); accepted {
					held[centre]++
					total++
					started = true
					break
				}
			}
			if !started {
				return 0
			}
		}
		return 0
	}
}
