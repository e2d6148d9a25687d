package responder

import (
	"encoding/json"
	"time"
)

// Behaviour determines how a stand-in upstream processes requests. It can be changed while the upstream runs.
type Behaviour struct {
	// FailFast makes the upstream answer every request with status 503 at once.
	FailFast bool
	// HealthLie makes the health endpoint report that the upstream is unhealthy.
	HealthLie bool
	// LoadLie makes the load endpoint report that the upstream is idle.
	LoadLie bool
	// RateLimit is the rate limit that the upstream names in its answers, in requests per second; zero for none.
	RateLimit float64
	// ServiceTime is the mean service time. Service times are exponentially distributed unless Steady is set.
	ServiceTime time.Duration
	// Slots is the number of requests that run concurrently. Further ones wait inside the upstream.
	Slots int
	// Steady makes the service time constant.
	Steady bool
	// StraggleFactor multiplies the service time. Zero and negative factors count as 1.
	StraggleFactor float64
}

// behaviourJSON is the encoding of a Behaviour. The service time is a Go duration string.
type behaviourJSON struct {
	FailFast       bool    `json:"fail-fast"`
	HealthLie      bool    `json:"health-lie"`
	LoadLie        bool    `json:"load-lie"`
	RateLimit      float64 `json:"rate-limit"`
	ServiceTime    string  `json:"service-time"`
	Slots          int     `json:"slots"`
	Steady         bool    `json:"steady"`
	StraggleFactor float64 `json:"straggle-factor"`
}

// MarshalJSON implements json.Marshaler.
func (b Behaviour) MarshalJSON() ([]byte, error) {
	return json.Marshal(behaviourJSON{
		FailFast: b.FailFast, HealthLie: b.HealthLie, LoadLie: b.LoadLie, RateLimit: b.RateLimit, ServiceTime: b.ServiceTime.String(),
		Slots: b.Slots, Steady: b.Steady, StraggleFactor: b.StraggleFactor,
	})
}

// UnmarshalJSON implements json.Unmarshaler. Fields that are missing in data keep their values.
func (b *Behaviour) UnmarshalJSON(data []byte) error {
	decoded := behaviourJSON{
		FailFast: b.FailFast, HealthLie: b.HealthLie, LoadLie: b.LoadLie, RateLimit: b.RateLimit, ServiceTime: b.ServiceTime.String(),
		Slots: b.Slots, Steady: b.Steady, StraggleFactor: b.StraggleFactor,
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	serviceTime, err := time.ParseDuration(decoded.ServiceTime)
	if err != nil {
		return err
	}
	*b = Behaviour{
		FailFast: decoded.FailFast, HealthLie: decoded.HealthLie, LoadLie: decoded.LoadLie, RateLimit: decoded.RateLimit, ServiceTime: serviceTime,
		Slots: decoded.Slots, Steady: decoded.Steady, StraggleFactor: decoded.StraggleFactor,
	}
	return nil
}
