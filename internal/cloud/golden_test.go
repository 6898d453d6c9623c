package cloud

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// TestGoldenRequests compares the requests to the cloud with the golden file, and decodes responses
// with all fields set.
func TestGoldenRequests(t *testing.T) {
	var catalogue wire.Catalogue
	var machines wire.MachineList
	var names wire.MachineNames
	golden.NewFiller(2).Fill(&catalogue)
	golden.NewFiller(2).Fill(&machines)
	golden.NewFiller(2).Fill(&names)
	machines.More = false
	recorder := &golden.Recorder{Responses: map[string]string{
		"GET /catalog":       encode(t, catalogue),
		"GET /hosts":         encode(t, machines),
		"POST /hosts":        encode(t, names),
		"POST /hosts/return": `{}`,
	}}
	server := httptest.NewServer(recorder)
	t.Cleanup(server.Close)
	client := New(&config.Settings{
		Services: config.Services{Cloud: strings.TrimPrefix(server.URL, "http://")},
		Cluster:  config.Cluster{Cloud: config.Cloud{RPS: 100}, Quota: config.Quota{Sockets: 500}},
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))

	read := make(chan controller.CatalogueResult, 1)
	client.ReadCatalogue(func(r controller.CatalogueResult) { read <- r })
	require.Equal(t, controller.CatalogueResult{Outcome: controller.Succeeded, Catalogue: catalogue}, <-read)

	listed := make(chan controller.MachinesResult, 1)
	client.ListMachines(func(r controller.MachinesResult) { listed <- r })
	require.Equal(t, controller.MachinesResult{Outcome: controller.Succeeded, Machines: machines.Machines}, <-listed)

	var request wire.ProvisionRequest
	golden.NewFiller(2).Fill(&request)
	provisioned := make(chan controller.ProvisionResult, 1)
	client.Provision(request, func(r controller.ProvisionResult) { provisioned <- r })
	require.Equal(t, controller.ProvisionResult{Outcome: controller.Succeeded, Machines: names.Names}, <-provisioned)

	terminated := make(chan controller.TerminateResult, 1)
	client.Terminate(names.Names, func(r controller.TerminateResult) { terminated <- r })
	require.Equal(t, controller.TerminateResult{Outcome: controller.Succeeded}, <-terminated)

	golden.Compare(t, "requests.txt", recorder.Requests())
}

func encode(t *testing.T, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	require.NoError(t, err)
	return string(text)
}
