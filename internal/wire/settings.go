package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"larkrouter"
)

// settingsJSON is the JSON form of the settings that the simulator passes.
type settingsJSON struct {
	Allowed struct {
		Cancel          bool  `json:"cancel"`
		MaxAttempts     int   `json:"maxAttempts"`
		MaxRetryAfterUs int64 `json:"maxRetryAfterUs"`
		MayProbe        bool  `json:"mayProbe"`
		Peers           bool  `json:"peers"`
		RetryAfter      bool  `json:"retryAfter"`
		SecondCopies    bool  `json:"secondCopies"`
	} `json:"allowed"`
	Classes []struct {
		DeadlineUs int64   `json:"deadlineUs"`
		DedupScope string  `json:"dedupScope"`
		LateShare  float64 `json:"lateShare"`
		Name       string  `json:"name"`
		Points     float64 `json:"points"`
		PromiseUs  int64   `json:"promiseUs"`
		Repeat     string  `json:"repeat"`
		WindowUs   int64   `json:"windowUs"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Discovery string `json:"discovery"`
	Extra     struct {
		AllowedPools   [][]int `json:"allowedPools"`
		HomeNo         *int    `json:"homeNo"`
		ReleaseGuardUs int64   `json:"releaseGuardUs"`
		RetransmitUs   int64   `json:"retransmitUs"`
		Shape          string  `json:"shape"`
	} `json:"extra"`
	GroupSize      int                `json:"groupSize"`
	OverShareWorth float64            `json:"overShareWorth"`
	Penalties      map[string]float64 `json:"penalties"`
	Rank           int                `json:"rank"`
	Report         struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Rules struct {
		AnswerSlackUs int64   `json:"answerSlackUs"`
		AskWithinUs   int64   `json:"askWithinUs"`
		ColdShare     float64 `json:"coldShare"`
		OverloadForUs int64   `json:"overloadForUs"`
		RampTimeUs    int64   `json:"rampTimeUs"`
		TipMultiple   float64 `json:"tipMultiple"`
	} `json:"rules"`
	Tenants []struct {
		AllowancePerS float64 `json:"allowancePerS"`
	} `json:"tenants"`
	TickUs int64 `json:"tickUs"`
}

func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// ParseSettings parses the settings with which an instance is started. Unknown keys are ignored.
func ParseSettings(info []byte) (larkrouter.Settings, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(info, &parsed); err != nil {
		return larkrouter.Settings{}, fmt.Errorf("parse settings: %w", err)
	}
	settings := larkrouter.Settings{
		FleetSize: parsed.GroupSize, Rank: parsed.Rank, Tick: microseconds(parsed.TickUs),
		ListOnRequest: parsed.Discovery == "ask", AskWithin: microseconds(parsed.Rules.AskWithinUs),
		AnswerSlack: microseconds(parsed.Rules.AnswerSlackUs), ReleaseGuard: microseconds(parsed.Extra.ReleaseGuardUs),
		Retransmit: microseconds(parsed.Extra.RetransmitUs), ColdShare: parsed.Rules.ColdShare, RampTime: microseconds(parsed.Rules.RampTimeUs),
		TipMultiple: parsed.Rules.TipMultiple, OverloadFor: microseconds(parsed.Rules.OverloadForUs),
		MaxAttempts: parsed.Allowed.MaxAttempts, MayCancel: parsed.Allowed.Cancel, MayProbe: parsed.Allowed.MayProbe,
		MayMessagePeers: parsed.Allowed.Peers, SendsRetryAfter: parsed.Allowed.RetryAfter, CallersMarkRedials: parsed.Clients.MarksRetry,
		MaxRetryAfter:   microseconds(parsed.Allowed.MaxRetryAfterUs),
		MayAttemptTwice: parsed.Allowed.SecondCopies, IsMesh: parsed.Extra.Shape == "mesh", HomeNumber: -1, ReportFields: parsed.Report.Fields,
		LateFailPrice: parsed.Penalties["lateFail"], ProbePrice: parsed.Penalties["probe"], PeerPrice: parsed.Penalties["peer"],
		OverAllowanceWorth: parsed.OverShareWorth,
	}
	if parsed.Extra.HomeNo != nil {
		settings.HomeNumber = *parsed.Extra.HomeNo
	}
	for _, tenant := range parsed.Tenants {
		settings.TenantAllowance = append(settings.TenantAllowance, tenant.AllowancePerS)
	}
	for i, in := range parsed.Classes {
		class := larkrouter.Class{Name: in.Name, Aim: microseconds(in.PromiseUs), Deadline: microseconds(in.DeadlineUs), Worth: in.Points,
			LateShare: in.LateShare, Window: microseconds(in.WindowUs)}
		switch in.Repeat {
		case "read_like":
			class.Repeat = larkrouter.Repeatable
		case "idempotency_key":
			class.Repeat = larkrouter.Keyed
		case "non_idempotent":
			class.Repeat = larkrouter.NonRepeatable
		default:
			return settings, fmt.Errorf("settings: class %d (%s): unknown repeat %q, must be one of read_like, idempotency_key, non_idempotent",
				i, in.Name, in.Repeat)
		}
		switch in.DedupScope {
		case "all", "":
			class.Scope = larkrouter.ScopeAll
		case "zone":
			class.Scope = larkrouter.ScopeZone
		case "cell":
			class.Scope = larkrouter.ScopeServer
		default:
			return settings, fmt.Errorf("settings: class %d (%s): unknown dedup scope %q, must be one of all, zone, cell", i, in.Name, in.DedupScope)
		}
		if i < len(parsed.Extra.AllowedPools) {
			class.Pools = parsed.Extra.AllowedPools[i]
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}
