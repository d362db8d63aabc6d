package scale

// Slope is a role's cost in an idle fleet as a linear function of the number of workers: Base + PerWorker*workers.
type Slope struct {
	Role, Cost      string
	Base, PerWorker float64
}

// idleCosts are the costs that IdleSlopes fits.
var idleCosts = []struct {
	name  string
	value func(Row) float64
}{
	{"cpu %", func(r Row) float64 { return r.CPU }},
	{"MB", func(r Row) float64 { return r.MB }},
	{"KB/s", func(r Row) float64 { return r.SocketKB }},
	{"msg/s", func(r Row) float64 { return r.Msgs }},
	{loopbackCost, func(r Row) float64 { return r.LoopKB }},
}

// loopbackCost is a cost of the whole machine. All roles have the same value, so it is fitted for one role only.
const loopbackCost = "loopback KB/s"

// IdleSlopes fits each cost of each role in idle fleets over the number of workers. A cost is omitted if there are too
// few fleet sizes.
func IdleSlopes(rows []Row) []Slope {
	var slopes []Slope
	for _, role := range Roles {
		for _, cost := range idleCosts {
			if cost.name == loopbackCost && role != SchedulerLeader {
				continue
			}
			var workers, values []float64
			for _, r := range rows {
				if r.Role == role && r.IsIdle() {
					workers, values = append(workers, float64(r.Workers)), append(values, cost.value(r))
				}
			}
			if base, slope, ok := fitLine(workers, values); ok {
				slopes = append(slopes, Slope{Role: role, Cost: cost.name, Base: base, PerWorker: slope})
			}
		}
	}
	return slopes
}
