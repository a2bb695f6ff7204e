package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/resources"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/sockets"
)

// Limits of the admin server. A body holds a list of at most 4 MiB in which every newline may be
// escaped, hence twice that size.
const (
	maxBodyBytes      = 8 << 20
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 90 * time.Second
	idleTimeout       = 60 * time.Second
	// clientsMemory is the part of the VM's memory, clientsSockets the part of the process's sockets that the
	// clients may take.
	clientsMemory  = 1.0 / 8
	clientsSockets = 1.0 / 16
	// dumpBytes is what the state of the process takes on average.
	dumpBytes = 512 << 10
)

// Handler returns the handler of a process's admin address. configuration is nil for a process that
// accepts no changes, such as an agent.
func Handler(process Process, configuration Configuration, token string) http.Handler {
	h := &handler{process: process, configuration: configuration}
	mux := http.NewServeMux()
	mux.Handle(adminapi.PathStatus, allowMethod(http.MethodGet, h.status))
	mux.Handle(adminapi.PathDump, allowMethod(http.MethodGet, h.dump))
	mux.Handle(adminapi.PathMetrics, allowMethod(http.MethodGet, h.metrics))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		result.WriteHTTP(w, result.New(api.ResultCode_UNKNOWN_ADDRESS))
	})
	if configuration == nil {
		for _, path := range []string{adminapi.PathLists, adminapi.PathChanges, adminapi.PathMarks} {
			mux.HandleFunc(path, rejectConfiguration)
		}
	} else {
		mux.HandleFunc(adminapi.PathLists+"{list}", h.lists)
		mux.Handle(adminapi.PathChanges+"{id}", allowMethod(http.MethodGet, h.change))
		mux.Handle(adminapi.PathMarks, allowMethod(http.MethodPost, h.mark))
	}
	root := http.NewServeMux()
	root.Handle(adminapi.PathReady, allowMethod(http.MethodGet, h.ready))
	root.Handle("/", requireToken(token, mux))
	return root
}

// Serve listens on the admin address until the context ends.
func Serve(ctx context.Context, address string, handler http.Handler, logger log.Logger) error {
	config := sockets.NewListenConfig()
	ln, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen on the admin address")
	}
	guard := newGuard(resources.Of(0, 0), logger)
	server := guard.NewServer(handler)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(guard.Listener(ln))
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve the admin address")
}

// newGuard bounds what the clients of the admin address can hold or send.
func newGuard(available resources.Resources, logger log.Logger) *httpguard.Guard {
	return httpguard.New(httpguard.Options{
		Name: "admin", Connections: available.Descriptors(clientsSockets), Bytes: available.Memory(clientsMemory),
		RequestBytes: dumpBytes, WriteTime: writeTimeout, Logger: logger,
		Limits: func() httpguard.Limits {
			return httpguard.Limits{HeaderBytes: maxHeaderBytes, HeaderTime: readHeaderTimeout, BodyTime: readTimeout, IdleTime: idleTimeout}
		},
	})
}

type handler struct {
	process       Process
	configuration Configuration
}

// requireToken rejects requests without the token. It compares hashes, which have equal length, in
// constant time, so that the time of a rejection reveals neither the token nor its length.
func requireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(presented))
		if token == "" || !isBearer || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			result.WriteHTTP(w, result.New(api.ResultCode_BAD_TOKEN))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// allowMethod rejects requests whose method is not the given one.
func allowMethod(method string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			result.WriteHTTP(w, result.New(api.ResultCode_METHOD_NOT_ALLOWED))
			return
		}
		next(w, r)
	})
}

// rejectConfiguration answers requests for lists and marks at a process that accepts no changes.
func rejectConfiguration(w http.ResponseWriter, _ *http.Request) {
	result.WriteHTTP(w, result.New(api.ResultCode_UNKNOWN_ADDRESS,
		"This process takes no lists or marks. Use the admin address of an entry."))
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.process.Ready(); err != nil {
		result.WriteHTTP(w, err)
		return
	}
	writeJSON(w, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.process.Status(r.Context())
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	writeJSON(w, status)
}

// writeJSON writes body as JSON with the result OK.
func writeJSON(w http.ResponseWriter, body any) {
	result.SetHeader(w.Header(), api.ResultCode_OK)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// writeError writes an error together with the details in failure.
func writeError(w http.ResponseWriter, err error, failure adminapi.Failure) {
	e := result.FromError(err)
	failure.Error = e.Detail()
	e.SetHeader(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.Lookup(e.Code).HTTP)
	_ = json.NewEncoder(w).Encode(failure)
}
