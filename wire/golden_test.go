package wire_test

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/fastjson"
	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// message is a message type of the package, with the name of its golden files.
type message struct {
	name     string
	newValue func() any
}

func messageOf[T any](name string) message { return message{name, func() any { return new(T) }} }

// messages lists every exported struct type of the package.
var messages = []message{
	messageOf[wire.JobSpec]("job-spec"),
	messageOf[wire.JobStatus]("job-status"),
	messageOf[wire.ErrorResponse]("error"),
	messageOf[wire.TaskID]("load-id"),
	messageOf[wire.TaskStatus]("load-report"),
	messageOf[wire.Heartbeat]("rig-report"),
	messageOf[wire.Command]("order"),
	messageOf[wire.HeartbeatResponse]("hello-answer"),
	messageOf[wire.Redirect]("hello-redirect"),
	messageOf[wire.CommandRequest]("do-request"),
	messageOf[wire.MachineType]("rigtype"),
	messageOf[wire.Catalogue]("catalog"),
	messageOf[wire.ProvisionRequest]("hire"),
	messageOf[wire.MachineNames]("rig-names"),
	messageOf[wire.CloudMachine]("listed-host"),
	messageOf[wire.MachineList]("hosts"),
	messageOf[wire.Entry]("kv-entry"),
	messageOf[wire.EntryList]("kv-entries"),
	messageOf[wire.Condition]("multi-if"),
	messageOf[wire.Change]("multi-then"),
	messageOf[wire.Transaction]("multi"),
	messageOf[wire.TransactionResponse]("multi-answer"),
	messageOf[wire.ChangeEvent]("follow-log"),
	messageOf[wire.WatchResponse]("follow"),
	messageOf[wire.PeerMessage]("sibling-line"),
	messageOf[wire.CancellationWatermark]("sibling-vouch"),
	messageOf[wire.WatermarkAck]("sibling-vouch-heard"),
	messageOf[wire.Cancellation]("sibling-vouch-withdrawn"),
	messageOf[wire.UnchangedHeartbeat]("sibling-heard"),
	messageOf[wire.ForwardedJob]("sibling-hand-off"),
	messageOf[wire.CapacityOffer]("sibling-room"),
	messageOf[wire.AdminController]("admin-controllers"),
	messageOf[wire.AdminTeam]("admin-teams"),
	messageOf[wire.AdminMachine]("admin-machines"),
	messageOf[wire.AdminJob]("admin-jobs"),
	messageOf[wire.AdminSettings]("admin-settings"),
	messageOf[wire.AdminMetrics]("admin-metrics"),
	messageOf[wire.AdminLatency]("admin-metrics-times"),
	messageOf[wire.AdminRollout]("admin-rollout"),
	messageOf[wire.AdminRolloutController]("admin-rollout-controllers"),
	messageOf[wire.AdminRolloutChange]("admin-rollout-change"),
	messageOf[wire.AdminShards]("admin-shares"),
	messageOf[wire.AdminShard]("admin-shares-share"),
	messageOf[wire.AdminShardChange]("admin-shares-change"),
}

// viewList is the key in enumValues under which the views are listed a second time.
const viewList = "admin-view-all"

// enumValues are the values of the enumerated fields, and the limits, by name.
var enumValues = map[string]any{
	"job-shape":   []wire.Shape{wire.ShapeArray, wire.ShapeGang, wire.ShapeService},
	"job-rank":    []wire.Priority{wire.PriorityCritical, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityBestEffort},
	"job-status":  []wire.Status{wire.StatusPending, wire.StatusRunning, wire.StatusDone, wire.StatusCancelled},
	"host-status": []wire.MachineStatus{wire.MachineBooting, wire.MachineRunning, wire.MachineFailed},
	"load-status": []wire.TaskState{wire.TaskPulling, wire.TaskWaiting, wire.TaskRunning, wire.TaskCheckpointing, wire.TaskExited},
	"load-cause": []wire.Cause{wire.CauseDone, wire.CauseStopped, wire.CausePeerFailed, wire.CauseGangTimeout, wire.CauseError,
		wire.CauseNoRoom, wire.CauseInUse, wire.CauseUnknown},
	"order-verb": []wire.Verb{wire.VerbLaunch, wire.VerbStop, wire.VerbClear},
	"admin-view": []wire.AdminView{wire.ViewControllers, wire.ViewTeams, wire.ViewMachines, wire.ViewJobs, wire.ViewSettings,
		wire.ViewMetrics, wire.ViewRollout, wire.ViewShards},
	viewList: wire.AdminViews,
	"limits": []int{wire.MaxTasks, wire.MaxBody, wire.MaxProvision, wire.MaxTerminate, wire.MaxMachinesPerPage},
}

// TestGoldenMessages encodes every message with all fields set, and decodes it with encoding/json
// and with fastjson. It also encodes every message with no field set.
func TestGoldenMessages(t *testing.T) {
	for _, m := range messages {
		t.Run(m.name, func(t *testing.T) {
			filled := m.newValue()
			golden.NewFiller(2).Fill(filled)
			text, err := json.Marshal(filled)
			require.NoError(t, err)
			golden.Compare(t, m.name+".json", text)

			strict := json.NewDecoder(bytes.NewReader(text))
			strict.DisallowUnknownFields()
			decoded := m.newValue()
			require.NoError(t, strict.Decode(decoded))
			require.Equal(t, filled, decoded)
			decoded = m.newValue()
			require.NoError(t, fastjson.Unmarshal(text, decoded))
			require.Equal(t, filled, decoded)

			empty, err := json.Marshal(m.newValue())
			require.NoError(t, err)
			golden.Compare(t, m.name+".zero.json", empty)
		})
	}
}

// TestGoldenParsers decodes golden messages with the functions that also check them.
func TestGoldenParsers(t *testing.T) {
	var spec wire.JobSpec
	golden.NewFiller(2).Fill(&spec)
	parsedSpec, err := wire.ParseJob(golden.Read(t, "job-spec.json"))
	require.NoError(t, err)
	require.Equal(t, spec, parsedSpec)

	var report wire.Heartbeat
	golden.NewFiller(2).Fill(&report)
	parsedReport, err := wire.ParseHeartbeat(golden.Read(t, "rig-report.json"))
	require.NoError(t, err)
	require.Equal(t, &report, parsedReport)
}

// TestGoldenEnumValues compares the values of enumerated fields and the limits with the golden
// file.
func TestGoldenEnumValues(t *testing.T) {
	text, err := json.MarshalIndent(enumValues, "", "  ")
	require.NoError(t, err)
	golden.Compare(t, "enum-values.json", text)
}

// TestGoldenIsComplete requires every exported struct type of the package to have a
// golden message, and every exported string constant to be among the golden values.
func TestGoldenIsComplete(t *testing.T) {
	var covered []string
	for _, m := range messages {
		covered = append(covered, reflect.TypeOf(m.newValue()).Elem().Name())
	}
	structs, constants := declarations(t)
	require.ElementsMatch(t, structs, covered)
	require.NotEmpty(t, constants)
	require.ElementsMatch(t, constants, enumStrings(t))
}

// enumStrings lists the strings among the golden enum values, without the second list of the
// views.
func enumStrings(t *testing.T) (constants []string) {
	var values map[string][]any
	require.NoError(t, json.Unmarshal(golden.Read(t, "enum-values.json"), &values))
	delete(values, viewList)
	for _, list := range values {
		for _, value := range list {
			if text, ok := value.(string); ok {
				constants = append(constants, text)
			}
		}
	}
	return constants
}

// declarations lists the exported struct types in the source of the package, and the values of
// its exported string constants.
func declarations(t *testing.T) (structs, constants []string) {
	entries, err := os.ReadDir(".")
	require.NoError(t, err)
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.FuncDecl:
				return false
			case *ast.TypeSpec:
				if _, ok := node.Type.(*ast.StructType); ok && node.Name.IsExported() {
					structs = append(structs, node.Name.Name)
				}
			case *ast.ValueSpec:
				constants = append(constants, exportedStrings(t, node)...)
			}
			return true
		})
	}
	return structs, constants
}

// exportedStrings lists the string literals that a declaration assigns to exported names.
func exportedStrings(t *testing.T, spec *ast.ValueSpec) (constants []string) {
	for i, value := range spec.Values {
		literal, ok := value.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING || !spec.Names[i].IsExported() {
			continue
		}
		text, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		constants = append(constants, text)
	}
	return constants
}
