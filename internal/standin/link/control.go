package link

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Command is the body of POST /fault.
type Command struct {
	// Cut is BlackHole or Reset; empty restores the link.
	Cut CutMode `json:"cut"`
}

// Control returns the handler of GET /stats and POST /fault.
func (l *Link) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", l.handleStats)
	mux.HandleFunc("POST /fault", l.handleFault)
	return mux
}

func (l *Link) handleStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Stats()) // the client may have disconnected
}

func (l *Link) handleFault(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch command.Cut {
	case "":
		l.Restore()
	case BlackHole, Reset:
		l.Cut(command.Cut)
	default:
		http.Error(w, fmt.Sprintf("unknown cut %q", command.Cut), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
