package quetzalfront

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsettings"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwaiter"
	"quetzalstair/quetzalcore/quetzalwire"
)

const (
	// operatorTimeout limits the wait for the World's result of an action.
	operatorTimeout = 15 * time.Second
	// maxChangeBytes is the largest permitted body of a change in bytes.
	maxChangeBytes = 64 << 10
)

// OperatorAPI is the administration API: it answers queries, performs changes and serves
// the metrics.
type OperatorAPI struct {
	// Post queues an input for the World.
	Post func(quetzalfleet.Input)
	// Waiters holds the HTTP requests that wait for the result of an action.
	Waiters *quetzalwaiter.Waiters[quetzalfleet.AnswerOperator]
	// Token is the bearer token that authenticates operators.
	Token string
	// Version is the version of the program, reported by GET /status.
	Version string
	// Metrics serves GET /metrics, which requires no token.
	Metrics http.Handler
}

// Handler returns the HTTP handler of the administration API.
func (o *OperatorAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	o.routeQueries(mux)
	o.routeChanges(mux)
	root := http.NewServeMux()
	root.Handle("GET /metrics", o.Metrics)
	root.Handle("/", o.authenticate(mux))
	return root
}

func (o *OperatorAPI) routeQueries(mux *http.ServeMux) {
	mux.HandleFunc("GET /status", o.queryHandler(quetzalfleet.GetStatus{}))
	mux.HandleFunc("GET /pools", o.queryHandler(quetzalfleet.GetPools{}))
	mux.HandleFunc("GET /queues", o.queryHandler(quetzalfleet.GetQueues{}))
	mux.HandleFunc("GET /teams", o.queryHandler(quetzalfleet.GetTeams{}))
	mux.HandleFunc("GET /hosts", o.queryHandler(quetzalfleet.GetHosts{}))
	mux.HandleFunc("GET /waves", o.queryHandler(quetzalfleet.GetWaves{}))
	mux.HandleFunc("GET /decisions", o.queryHandler(quetzalfleet.GetDecisions{}))
	mux.HandleFunc("GET /settings/versions", o.queryHandler(quetzalfleet.GetSettingsVersions{}))
	mux.HandleFunc("GET /settings/{Path...}", o.getSetting)
}

func (o *OperatorAPI) routeChanges(mux *http.ServeMux) {
	mux.HandleFunc("PUT /settings/{Path...}", changeHandler(o, settingChangeParser(false)))
	mux.HandleFunc("DELETE /settings/{Path...}", changeHandler(o, settingChangeParser(true)))
	mux.HandleFunc("PUT /pools/{Name}", changeHandler(o, parsePoolChange))
	mux.HandleFunc("PUT /queues/{Name}", changeHandler(o, parseQueueChange))
	mux.HandleFunc("PUT /teams/{Name}", changeHandler(o, parseTeamChange))
	mux.HandleFunc("PUT /hosts/{Name}", changeHandler(o, parseHostChange))
	mux.HandleFunc("POST /hosts/{Name}/move", changeHandler(o, parseMoveChange))
	mux.HandleFunc("PUT /waves/{Name}", changeHandler(o, parseWaveChange))
	mux.HandleFunc("POST /waves/{Name}/pause", changeHandler(o, waveStateParser(quetzalfleet.WavePaused)))
	mux.HandleFunc("POST /waves/{Name}/resume", changeHandler(o, waveStateParser(quetzalfleet.WaveRunning)))
	mux.HandleFunc("POST /waves/{Name}/cancel", changeHandler(o, waveStateParser(quetzalfleet.WaveCancelled)))
}

// authenticate rejects requests without the bearer token. The comparison takes constant
// time, so that response times reveal nothing about the token.
func (o *OperatorAPI) authenticate(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte("Bearer " + o.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, quetzalwire.ErrorDoc{
				Code: "Unauthorized", Message: "send the operators' token: Authorization: Bearer TOKEN",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (o *OperatorAPI) queryHandler(action quetzalfleet.OperatorAction) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { o.performAction(w, r, action) }
}

// performAction posts an action to the World, waits for its result and writes it.
func (o *OperatorAPI) performAction(w http.ResponseWriter, r *http.Request, action quetzalfleet.OperatorAction) {
	caller, answered, unregister := o.Waiters.Add()
	o.Post(quetzalfleet.OperatorRequested{Caller: caller, Action: action})
	timer := time.NewTimer(operatorTimeout)
	defer timer.Stop()
	select {
	case a := <-answered:
		o.writeResult(w, r, a.Result)
		return
	case <-r.Context().Done():
	case <-timer.C:
	}
	unregister()
	writeError(w, http.StatusGatewayTimeout, quetzalwire.ErrorDoc{
		Code: "Unknown", Message: "no result in time: repeat a query, or send a change again with the same ChangeId",
	})
}

func (o *OperatorAPI) getSetting(w http.ResponseWriter, r *http.Request) {
	path, err := parseNodePath(r.PathValue("Path"))
	if err != nil {
		writeBadRequest(w, http.StatusBadRequest, err)
		return
	}
	o.performAction(w, r, quetzalfleet.GetSetting{Path: path})
}

// parseNodePath validates the path of a settings node: Fleet, Fleet/{Zone} or
// Fleet/{Zone}/{Pool}.
func parseNodePath(text string) (quetzalunit.SettingsPath, error) {
	parts := strings.Split(text, "/")
	const maxDepth = 3
	if parts[0] != "Fleet" || len(parts) > maxDepth {
		return "", &ParameterError{Field: "Path", Value: text, Problem: "is not Fleet, Fleet/{Zone} or Fleet/{Zone}/{Pool}"}
	}
	for _, p := range parts[1:] {
		if err := quetzalsettings.CheckName("Path", p); err != nil {
			return "", err
		}
	}
	return quetzalunit.SettingsPath(text), nil
}

// changeHandler returns a handler that decodes the body, rejecting unknown fields, and
// performs the action that convert returns for it.
func changeHandler[D any](
	o *OperatorAPI, convert func(*http.Request, *D) (quetzalfleet.OperatorAction, error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var doc D
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&doc); err != nil {
			writeBadRequest(w, http.StatusBadRequest, &ParameterError{Field: fieldBody, Problem: err.Error()})
			return
		}
		if name := r.PathValue("Name"); name != "" {
			if err := quetzalsettings.CheckName("name", name); err != nil {
				writeBadRequest(w, http.StatusBadRequest, err)
				return
			}
		}
		action, err := convert(r, &doc)
		if err != nil {
			writeBadRequest(w, http.StatusBadRequest, err)
			return
		}
		o.performAction(w, r, action)
	}
}

func parseChangeID(text string) (quetzalunit.ChangeID, error) {
	if !idPattern.MatchString(text) {
		return "", &ParameterError{
			Field: "ChangeId", Value: text, Problem: "is not 1 to 128 letters, digits or . _ ~ : -; choose one for each change",
		}
	}
	return quetzalunit.ChangeID(text), nil
}

// settingChangeParser returns a function that parses a change of a settings node.
func settingChangeParser(
	deleted bool,
) func(*http.Request, *quetzalwire.SettingChange) (quetzalfleet.OperatorAction, error) {
	return func(r *http.Request, d *quetzalwire.SettingChange) (quetzalfleet.OperatorAction, error) {
		id, err := parseChangeID(d.ChangeID)
		if err != nil {
			return nil, err
		}
		path, err := parseNodePath(r.PathValue("Path"))
		if err != nil {
			return nil, err
		}
		values, err := quetzalsettings.ParseValues(&d.Values)
		if err != nil {
			return nil, err
		}
		a := quetzalfleet.ChangeSetting{ID: id, Path: path, Delete: deleted, Values: values}
		if d.IfVersion != nil {
			v := quetzalunit.Version(*d.IfVersion)
			a.IfVersion = &v
		}
		return a, nil
	}
}

// parsePoolChange and the functions for other entities below convert a body to an
// action. The path names the entity.
func parsePoolChange(r *http.Request, d *quetzalwire.PoolChange) (quetzalfleet.OperatorAction, error) {
	id, err := parseChangeID(d.ChangeID)
	for _, b := range d.Budgets {
		if b.MinHosts < 0 && err == nil {
			err = &ParameterError{Field: "MinHosts", Value: fmt.Sprint(b.MinHosts), Problem: "is below 0"}
		}
	}
	pool := quetzalfleet.PoolRow{ID: quetzalunit.PoolID(r.PathValue("Name")), Budgets: quetzalcodec.DecodeZoneBudgets(d.Budgets)}
	if d.Spare != nil {
		pool.Spare = *d.Spare
	}
	return quetzalfleet.ChangePool{ID: id, Pool: pool}, err
}

func parseQueueChange(r *http.Request, d *quetzalwire.QueueChange) (quetzalfleet.OperatorAction, error) {
	id, err := parseChangeID(d.ChangeID)
	return quetzalfleet.ChangeQueue{ID: id, Queue: quetzalfleet.QueueRow{
		ID: quetzalunit.QueueID(r.PathValue("Name")), Pool: quetzalunit.PoolID(d.Pool),
	}}, err
}

func parseTeamChange(r *http.Request, d *quetzalwire.TeamChange) (quetzalfleet.OperatorAction, error) {
	id, err := parseChangeID(d.ChangeID)
	if d.Weight < 1 && err == nil {
		err = &ParameterError{Field: "Weight", Value: fmt.Sprint(d.Weight), Problem: "is below 1"}
	}
	return quetzalfleet.ChangeTeam{ID: id, Team: quetzalfleet.TeamRow{
		ID: quetzalunit.TeamID(r.PathValue("Name")), Weight: quetzalunit.Weight(d.Weight),
		MaxQueued: quetzalunit.Requests(d.MaxQueued),
	}}, err
}

func parseHostChange(r *http.Request, d *quetzalwire.HostChange) (quetzalfleet.OperatorAction, error) {
	id, err := parseChangeID(d.ChangeID)
	if err == nil {
		err = quetzalsettings.CheckAddress("Address", d.Address)
	}
	return quetzalfleet.RegisterHost{ID: id, Host: quetzalfleet.HostSpec{
		ID: quetzalunit.HostID(r.PathValue("Name")), Address: quetzalunit.Address(d.Address),
		Zone: quetzalunit.ZoneID(d.Zone), Rack: quetzalunit.RackID(d.Rack), Pool: quetzalunit.PoolID(d.Pool),
	}}, err
}

func parseMoveChange(r *http.Request, d *quetzalwire.MoveChange) (quetzalfleet.OperatorAction, error) {
	id, err := parseChangeID(d.ChangeID)
	return quetzalfleet.MoveHost{
		ID: id, Host: quetzalunit.HostID(r.PathValue("Name")), Pool: quetzalunit.PoolID(d.Pool),
	}, err
}

func parseWaveChange(r *http.Request, d *quetzalwire.WaveChange) (quetzalfleet.OperatorAction, error) {
	id, err := parseChangeID(d.ChangeID)
	if err != nil {
		return nil, err
	}
	wave := quetzalfleet.WaveSpec{
		ID:    quetzalunit.WaveID(r.PathValue("Name")),
		Zones: quetzalcodec.FromStrings[quetzalunit.ZoneID](d.Zones),
		Pools: quetzalcodec.FromStrings[quetzalunit.PoolID](d.Pools),
	}
	if d.MaxConcurrent != nil {
		wave.MaxConcurrent = quetzalunit.Hosts(*d.MaxConcurrent)
	}
	if r.URL.Query().Get("DryRun") == flagTrue {
		return quetzalfleet.PreviewWave{Wave: wave}, nil
	}
	return quetzalfleet.CreateWave{ID: id, Wave: wave}, nil
}

// waveStateParser returns a function that parses a change of a wave to a state.
func waveStateParser(
	state quetzalfleet.WaveState,
) func(*http.Request, *quetzalwire.WaveChange) (quetzalfleet.OperatorAction, error) {
	return func(r *http.Request, d *quetzalwire.WaveChange) (quetzalfleet.OperatorAction, error) {
		id, err := parseChangeID(d.ChangeID)
		return quetzalfleet.SetWaveState{ID: id, Wave: quetzalunit.WaveID(r.PathValue("Name")), State: state}, err
	}
}
