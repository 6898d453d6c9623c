package cloud

import (
	"log/slog"
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
		"GET /catalog":       golden.Encode(t, catalogue),
		"GET /hosts":         golden.Encode(t, machines),
		"POST /hosts":        golden.Encode(t, names),
		"POST /hosts/return": `{}`,
	}}
	client := New(&config.Settings{
		Services: config.Services{Cloud: recorder.Start(t)},
		Cluster:  config.Cluster{Cloud: config.Cloud{RPS: 100}, Quota: config.Quota{Sockets: 500}},
	}, slog.New(slog.DiscardHandler))

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
