package sizes

import "math"

// Load is the size and the request load of a cell.
type Load struct {
	Workers      int
	RunningTasks int
	// StartsPerSecond counts task starts, JobsPerSecond submitted jobs.
	StartsPerSecond float64
	JobsPerSecond   float64
	EntryInstances  int
	Voters          int
	Teams           int
	// Notes is the number of notes in the history. The predicted traffic assumes
	// that as many are applied per day.
	Notes float64
	// RetainedJobs is the number of ended jobs whose results are retained.
	RetainedJobs int
	// LeaseSeconds is the duration of a target's lease.
	LeaseSeconds float64
}

// PlannedLoad returns the load that the users plan for in two years. At the
// peak a job has five task starts on average. The busiest hour has a tenth of
// the day's jobs, and results are retained for a quarter of an hour of it.
func PlannedLoad() Load {
	return Load{
		Workers:         2700,
		RunningTasks:    11000,
		StartsPerSecond: 910,
		JobsPerSecond:   182,
		EntryInstances:  4,
		Voters:          3,
		Teams:           120,
		Notes:           2200,
		RetainedJobs:    14000 / 10 / 4,
		LeaseSeconds:    6,
	}
}

const (
	// pollsPerLease is the number of polls by an idle target per lease.
	pollsPerLease = 3
	// reportsPerTask counts the started and the finished report of a task.
	reportsPerTask = 2
	// commandBytes is the mean size of a command in the replicated log.
	commandBytes = 220
	// batchPeriodSeconds is the time that a voter needs for one batch of log
	// entries. Commands that arrive meanwhile form the next batch.
	batchPeriodSeconds = 0.0004
	// callsPerBatch is the number of messages per batch and follower: the
	// appended entries and the acknowledgement.
	callsPerBatch = 2
	// requestBytes is the mean size of a request and its response, with
	// headers and a small body.
	requestBytes = 900
	// runtimeMiB is the memory of a Go process of this size without state.
	// heapFactor is the ratio of heap size to live heap under the garbage
	// collector.
	runtimeMiB      = 30
	heapFactor      = 2
	mib             = 1 << 20
	secondsPerMicro = 1e-6
)

// Rates are the operations of a cell per second.
type Rates struct {
	Polls       float64
	Reports     float64
	Submissions float64
	Waits       float64
	// Commands counts the commands from clients and targets. Placements
	// counts those from the scheduler, each of which places all tasks that
	// arrive together.
	Commands   float64
	Placements float64
	// Batches counts the log syncs of a voter.
	Batches  float64
	Requests float64
}

// Rates returns the operations per second under the load.
func (l Load) Rates() Rates {
	r := Rates{
		// A poll returns as soon as it delivers a start, so each start
		// causes one additional poll.
		Polls:       float64(l.Workers)/l.LeaseSeconds*pollsPerLease + l.StartsPerSecond,
		Reports:     reportsPerTask * l.StartsPerSecond,
		Submissions: l.JobsPerSecond,
		Waits:       l.JobsPerSecond,
	}
	r.Commands = r.Reports + r.Submissions
	r.Placements = min(l.JobsPerSecond, l.StartsPerSecond)
	appended := r.Commands + r.Placements
	r.Batches = appended / (1 + appended*batchPeriodSeconds)
	r.Requests = r.Polls + r.Reports + r.Submissions + r.Waits
	return r
}

// Role is the predicted cost of one instance that has the role.
type Role struct {
	Name              string
	StateSize         string
	MessagesPerSecond float64
	Cost              Cost
	SyncsPerSecond    float64
	Mechanism         string
}

// Roles predicts the cost of every role from the measured models.
func (l Load) Roles(m Measurements) []Role {
	follower := l.follower(m, "voter, following", "pipelined append, one sync a batch")
	learner := l.follower(m, "learner", "as a following voter; snapshots in pieces")
	return []Role{l.leader(m), follower, learner, l.entryInstance(m), l.configFollower(m), l.targetSession(m)}
}

// replicationBytes returns the bytes per second of log entries that are sent to
// one follower.
func (l Load) replicationBytes() float64 {
	return (l.Rates().Commands*commandBytes + l.StartsPerSecond*commandBytes/4) * 1.2
}

func (l Load) leader(m Measurements) Role {
	rates := l.Rates()
	schedulerMiB := heapFactor * m.Model(ModelSchedulerState).Predict(float64(l.Workers)) / mib
	return Role{
		Name:              "voter, leading",
		StateSize:         formatMiB(l.stateMiB(m)),
		MessagesPerSecond: rates.Requests + callsPerBatch*rates.Batches,
		SyncsPerSecond:    rates.Batches,
		Mechanism:         "group commit, one engine, leases outside the log",
		Cost: Cost{
			Cores:          l.leaderCores(m, rates),
			MiB:            runtimeMiB + heapFactor*l.stateMiB(m) + schedulerMiB,
			BytesPerSecond: float64(l.Voters-1)*l.replicationBytes() + rates.Requests*requestBytes/3,
		},
	}
}

func (l Load) follower(m Measurements, name, mechanism string) Role {
	rates := l.Rates()
	return Role{
		Name:              name,
		StateSize:         formatMiB(l.stateMiB(m)),
		MessagesPerSecond: callsPerBatch * rates.Batches,
		SyncsPerSecond:    rates.Batches,
		Mechanism:         mechanism,
		Cost: Cost{
			Cores:          l.followerCores(m, rates),
			MiB:            runtimeMiB + heapFactor*l.stateMiB(m),
			BytesPerSecond: l.replicationBytes(),
		},
	}
}

func (l Load) entryInstance(m Measurements) Role {
	rates := l.Rates()
	requests := rates.Requests / float64(l.EntryInstances)
	pollMiB := float64(l.Workers) / float64(l.EntryInstances) * pollGoroutineMiB
	return Role{
		Name:              "entry instance",
		StateSize:         "configuration",
		MessagesPerSecond: 2 * requests,
		Mechanism:         "forwards over one connection; no job stream",
		Cost: Cost{
			Cores:          l.entryCores(m, rates),
			MiB:            runtimeMiB + heapFactor*l.configMiB(m) + pollMiB,
			BytesPerSecond: requests * requestBytes * 1.33,
		},
	}
}

func (l Load) configFollower(m Measurements) Role {
	return Role{
		Name:              "configuration follower",
		StateSize:         "configuration",
		MessagesPerSecond: 2,
		Mechanism:         "long poll of the leader, notes in batches",
		Cost: Cost{
			Cores:          2 * m.Model(ModelRPC).Predict(256) * secondsPerMicro,
			MiB:            runtimeMiB + heapFactor*l.configMiB(m),
			BytesPerSecond: 2*configPollBytes + l.Notes/secondsPerDay*noteBytes,
		},
	}
}

func (l Load) targetSession(m Measurements) Role {
	requests := l.Rates().Requests / float64(l.Workers)
	attempts := float64(l.RunningTasks) / float64(l.Workers)
	return Role{
		Name:              "target session",
		StateSize:         "lease, attempts",
		MessagesPerSecond: 2 * requests,
		Mechanism:         "the target's own poll; nothing of ours runs there",
		Cost: Cost{
			Cores:          requests * m.Model(ModelHTTP).Predict(256) / 2 * secondsPerMicro,
			BytesPerSecond: requests * m.Model(ModelPollSize).Predict(attempts),
		},
	}
}

const (
	// pollGoroutineMiB is the memory of an entry instance per waiting poll.
	pollGoroutineMiB = 0.045
	// configPollBytes is the traffic of one poll for the configuration,
	// noteBytes that of one note.
	configPollBytes = 300
	noteBytes       = 250
	secondsPerDay   = 86400
)

func (l Load) stateMiB(m Measurements) float64 {
	endedJobs := m.Model(ModelEndedJobState).Slope * float64(l.RetainedJobs)
	runningTasks := m.Model(ModelRunningTaskState).Slope * float64(l.RunningTasks)
	workers := m.Model(ModelWorkerState).Slope * float64(l.Workers)
	return (endedJobs+runningTasks+workers)/mib + l.configMiB(m)
}

func (l Load) configMiB(m Measurements) float64 {
	return (m.Model(ModelTeamState).Slope*float64(l.Teams) + m.Model(ModelNoteState).Slope*l.Notes) / mib
}

func (l Load) applyCores(m Measurements, rates Rates) float64 {
	return (rates.Commands + l.StartsPerSecond) * m.Model(ModelCommandApply).Predict(float64(l.RunningTasks)) * secondsPerMicro
}

func (l Load) walCores(m Measurements, rates Rates) float64 {
	sync := m.Model(ModelWALSync)
	return (rates.Batches*math.Max(sync.Intercept, 0) + rates.Commands*sync.Slope) * secondsPerMicro
}

// leaderCores returns the CPU cores that the leader uses. The models of RPC and
// HTTP cover client and server together, so each side is charged half.
func (l Load) leaderCores(m Measurements, rates Rates) float64 {
	rpcs := rates.Requests * m.Model(ModelRPC).Predict(256) / 2
	scheduling := l.StartsPerSecond * m.Model(ModelScheduling).Predict(float64(l.Workers))
	logging := (l.StartsPerSecond + l.JobsPerSecond) * m.Model(ModelLogLine).Predict(6)
	replication := float64(l.Voters-1) * callsPerBatch * rates.Batches * m.Model(ModelRPC).Predict(512) / 2
	return (rpcs+scheduling+logging+replication)*secondsPerMicro + l.applyCores(m, rates) + l.walCores(m, rates)
}

func (l Load) followerCores(m Measurements, rates Rates) float64 {
	replication := callsPerBatch * rates.Batches * m.Model(ModelRPC).Predict(512) / 2
	return replication*secondsPerMicro + l.applyCores(m, rates) + l.walCores(m, rates)
}

func (l Load) entryCores(m Measurements, rates Rates) float64 {
	micros := m.Model(ModelHTTP).Predict(512)/2 + m.Model(ModelRPC).Predict(256)/2
	return rates.Requests / float64(l.EntryInstances) * micros * secondsPerMicro
}
