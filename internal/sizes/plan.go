package sizes

import "math"

// Plan is the size that a cell is worked out for.
type Plan struct {
	Workers int
	Running int
	// Starts are task starts a second, Jobs submitted jobs a second.
	Starts  float64
	Jobs    float64
	Entries int
	Voters  int
	Teams   int
	Notes   float64
	// Kept are the ended jobs whose answers are kept.
	Kept int
	// LeaseSeconds is the length of a target's lease.
	LeaseSeconds float64
}

// Planned returns the users' plan for two years from now. Of the starts at
// the peak, five belong to one job on average; the answers of a quarter of an
// hour of the day's busiest hour, a tenth of its jobs, are kept.
func Planned() Plan {
	return Plan{
		Workers:      2700,
		Running:      11000,
		Starts:       910,
		Jobs:         182,
		Entries:      4,
		Voters:       3,
		Teams:        120,
		Notes:        2200,
		Kept:         14000 / 10 / 4,
		LeaseSeconds: 6,
	}
}

const (
	// pollParts is how many times in a lease a quiet target polls.
	pollParts = 3
	// reportsPerTask are the reports of a task: started and finished.
	reportsPerTask = 2
	// commandBytes is the mean size of a command in the log.
	commandBytes = 220
	// batchSeconds is how long a voter takes for one batch of the log, in
	// which the commands of the next one gather.
	batchSeconds = 0.0004
	// callsPerBatch are the calls for a batch with one follower: the entries
	// out, and the acknowledgement back.
	callsPerBatch = 2
	// headerBytes is the mean of a request's and its answer's headers and a
	// small body.
	requestBytes = 900
	// runtimeMiB is what a Go process of this size takes with no state, and
	// heapFactor what the collector adds to the live heap.
	runtimeMiB = 30
	heapFactor = 2
	mib        = 1 << 20
	millionths = 1e-6
)

// Work is what happens in a cell each second.
type Work struct {
	Polls   float64
	Reports float64
	Submits float64
	Waits   float64
	// Commands are those of callers and targets, Places those of the policy,
	// of which one brings several tasks where they come together.
	Commands float64
	Places   float64
	// Batches are the syncs of a voter.
	Batches  float64
	Requests float64
}

// Work returns what happens each second at the planned size.
func (p Plan) Work() Work {
	w := Work{
		// A start ends the poll that brings it, so each start is a poll more.
		Polls:   float64(p.Workers)/p.LeaseSeconds*pollParts + p.Starts,
		Reports: reportsPerTask * p.Starts,
		Submits: p.Jobs,
		Waits:   p.Jobs,
	}
	w.Commands = w.Reports + w.Submits
	w.Places = min(p.Jobs, p.Starts)
	arriving := w.Commands + w.Places
	w.Batches = arriving / (1 + arriving*batchSeconds)
	w.Requests = w.Polls + w.Reports + w.Submits + w.Waits
	return w
}

// Role is what one instance of a role costs at the planned size.
type Role struct {
	Name      string
	State     string
	Messages  float64
	Cost      Cost
	Syncs     float64
	Mechanism string
}

// Roles works out every role from the slopes.
func (p Plan) Roles(f File) []Role {
	follower := p.follower(f, "voter, following", "pipelined append, one sync a batch")
	learner := p.follower(f, "learner", "as a following voter; snapshots in pieces")
	return []Role{p.leader(f), follower, learner, p.entry(f), p.configFollower(f), p.session(f)}
}

// logBytes is what the log's entries take on the way to one follower.
func (p Plan) logBytes() float64 {
	return (p.Work().Commands*commandBytes + p.Starts*commandBytes/4) * 1.2
}

func (p Plan) leader(f File) Role {
	w := p.Work()
	engine := heapFactor * f.Find(SlopeEngine).At(float64(p.Workers)) / mib
	return Role{
		Name:      "voter, leading",
		State:     formatState(p.stateMiB(f)),
		Messages:  w.Requests + callsPerBatch*w.Batches,
		Syncs:     w.Batches,
		Mechanism: "group commit, one engine, leases outside the log",
		Cost: Cost{
			Cores: p.leaderCores(f, w),
			MiB:   runtimeMiB + heapFactor*p.stateMiB(f) + engine,
			Bytes: float64(p.Voters-1)*p.logBytes() + w.Requests*requestBytes/3,
		},
	}
}

func (p Plan) follower(f File, name, mechanism string) Role {
	w := p.Work()
	return Role{
		Name:      name,
		State:     formatState(p.stateMiB(f)),
		Messages:  callsPerBatch * w.Batches,
		Syncs:     w.Batches,
		Mechanism: mechanism,
		Cost: Cost{
			Cores: p.followerCores(f, w),
			MiB:   runtimeMiB + heapFactor*p.stateMiB(f),
			Bytes: p.logBytes(),
		},
	}
}

func (p Plan) entry(f File) Role {
	w := p.Work()
	each := w.Requests / float64(p.Entries)
	polls := float64(p.Workers) / float64(p.Entries) * goroutineMiB
	return Role{
		Name:      "entry instance",
		State:     "configuration",
		Messages:  2 * each,
		Mechanism: "forwards over one connection; no job stream",
		Cost: Cost{
			Cores: p.entryCores(f, w),
			MiB:   runtimeMiB + heapFactor*p.configMiB(f) + polls,
			Bytes: each * requestBytes * 1.33,
		},
	}
}

func (p Plan) configFollower(f File) Role {
	return Role{
		Name:      "configuration follower",
		State:     "configuration",
		Messages:  2,
		Mechanism: "long poll of the leader, notes in batches",
		Cost: Cost{
			Cores: 2 * f.Find(SlopeCodec).At(256) * millionths,
			MiB:   runtimeMiB + heapFactor*p.configMiB(f),
			Bytes: 2*feedBytes + p.Notes/secondsOfDay*noteBytes,
		},
	}
}

func (p Plan) session(f File) Role {
	each := p.Work().Requests / float64(p.Workers)
	known := float64(p.Running) / float64(p.Workers)
	return Role{
		Name:      "target session",
		State:     "lease, attempts",
		Messages:  2 * each,
		Mechanism: "the target's own poll; nothing of ours runs there",
		Cost: Cost{
			Cores: each * f.Find(SlopeHTTP).At(256) / 2 * millionths,
			Bytes: each * f.Find(SlopePoll).At(known),
		},
	}
}

const (
	goroutineMiB = 0.045
	feedBytes    = 300
	noteBytes    = 250
	secondsOfDay = 86400
)

func (p Plan) stateMiB(f File) float64 {
	jobs := f.Find(SlopeJob).Slope * float64(p.Kept)
	running := f.Find(SlopeTask).Slope * float64(p.Running)
	workers := f.Find(SlopeWorker).Slope * float64(p.Workers)
	return (jobs+running+workers)/mib + p.configMiB(f)
}

func (p Plan) configMiB(f File) float64 {
	return (f.Find(SlopeKey).Slope*float64(p.Teams) + f.Find(SlopeNote).Slope*p.Notes) / mib
}

func (p Plan) applyCores(f File, w Work) float64 {
	return (w.Commands + p.Starts) * f.Find(SlopeApply).At(float64(p.Running)) * millionths
}

func (p Plan) logCores(f File, w Work) float64 {
	s := f.Find(SlopeSync)
	return (w.Batches*math.Max(s.Intercept, 0) + w.Commands*s.Slope) * millionths
}

func (p Plan) leaderCores(f File, w Work) float64 {
	calls := w.Requests * f.Find(SlopeCodec).At(256) / 2
	decide := p.Starts * f.Find(SlopeDecide).At(float64(p.Workers))
	lines := (p.Starts + p.Jobs) * f.Find(SlopeLog).At(6)
	replicate := float64(p.Voters-1) * callsPerBatch * w.Batches * f.Find(SlopeCodec).At(512) / 2
	return (calls+decide+lines+replicate)*millionths + p.applyCores(f, w) + p.logCores(f, w)
}

func (p Plan) followerCores(f File, w Work) float64 {
	replicate := callsPerBatch * w.Batches * f.Find(SlopeCodec).At(512) / 2
	return replicate*millionths + p.applyCores(f, w) + p.logCores(f, w)
}

func (p Plan) entryCores(f File, w Work) float64 {
	each := f.Find(SlopeHTTP).At(512)/2 + f.Find(SlopeCodec).At(256)/2
	return w.Requests / float64(p.Entries) * each * millionths
}
