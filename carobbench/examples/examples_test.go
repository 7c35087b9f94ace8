package examples

import (
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/wire"
)

// deployments holds the expected shape of each deployment, as stated by the
// users.
var deployments = map[string]struct {
	records  []byte
	servers  map[string]int // backend servers by service
	slots    int
	domains  []string
	booking  string // route whose calls must not run twice
	document string // route whose answers are large
}{
	"tamirhane": {Tamirhane, map[string]int{"repairs": 7, "manuals": 3}, 10, []string{"kadikoy", "besiktas", "uskudar"}, "intake", "manuals"},
	"jieming":   {Jieming, map[string]int{"quotes": 7, "drawings": 4}, 6, []string{"xitun", "nantun", "beitun", "fengyuan"}, "orders", "drawings"},
}

func TestSettings(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			files, err := fs.Glob(Settings, name+"/*.ini")
			require.NoError(t, err)
			servers, ports, perDomain := map[string]int{}, map[string]string{}, map[string]int{}
			peers, seeds := map[string]string{}, map[string]bool{}
			for _, file := range files {
				data, err := fs.ReadFile(Settings, file)
				require.NoError(t, err)
				s, findings := settings.Parse(file, data)
				require.NoError(t, findings.Err())
				instance := s.GetInstance().GetName()
				require.Equal(t, path.Base(file), instance+".ini")
				servers[instance[:strings.LastIndexByte(instance, '-')]]++
				perDomain[s.GetInstance().GetDomain()]++
				peers[s.GetListen().GetPeer()] = s.GetInstance().GetDomain()
				l := s.GetListen()
				for _, addr := range []string{l.GetCaller(), l.GetHop(), l.GetPeer(), l.GetBackend(), l.GetOperator()} {
					require.Empty(t, ports[addr], "%s listens at %s too", instance, addr)
					ports[addr] = instance
				}
				for _, seed := range s.GetPeers().GetSeeds() {
					seeds[seed] = true
				}
			}
			require.Equal(t, d.servers, servers)
			seedsPerDomain := map[string]int{}
			for seed := range seeds {
				require.Contains(t, peers, seed)
				seedsPerDomain[peers[seed]]++
			}
			for _, domain := range d.domains {
				require.GreaterOrEqual(t, perDomain[domain], 2, domain)
				require.Equal(t, 2, seedsPerDomain[domain], domain)
			}
			require.Len(t, perDomain, len(d.domains))
		})
	}
}

func TestRecords(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			res := revision.Compose(&revision.Table{}, decode(t, d.records), revision.NewestFormat)
			require.Empty(t, res.Held)
			rev, err := revision.Next(&revision.Table{}, res, "change", "test", 1)
			require.NoError(t, err)
			var h revision.Holder
			require.NoError(t, h.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
			table := h.Table()
			require.Len(t, table.Services, len(d.servers))
			for service := range d.servers {
				require.Equal(t, d.slots, table.Policy(service).Slots, service)
				require.Positive(t, table.Policy(service).Queue.MaxWait)
			}
			routes := map[string]*record.Route{}
			for _, r := range table.Routes {
				require.Contains(t, d.servers, r.Service)
				require.Positive(t, r.Timeout)
				routes[r.Name] = r
			}
			require.Equal(t, record.RepeatNever, routes[d.booking].Repeat)
			require.True(t, routes[d.document].Hedge)
			require.GreaterOrEqual(t, routes[d.document].Timeout, time.Second)
		})
	}
}

// decode decodes and validates a sequence of JSON record documents and numbers
// their versions from 1.
func decode(t *testing.T, data []byte) []*wire.Record {
	var out []*wire.Record
	dec := json.NewDecoder(strings.NewReader(string(data)))
	for {
		var doc struct {
			Kind, Name string
			Schema     uint32
			Spec       json.RawMessage
		}
		err := dec.Decode(&doc)
		if err == io.EOF {
			return out
		}
		require.NoError(t, err)
		kind, ok := record.ParseKind(doc.Kind)
		require.True(t, ok, doc.Kind)
		r := &wire.Record{Kind: kind, Name: doc.Name, Schema: doc.Schema, Version: uint64(len(out) + 1), Body: doc.Spec}
		findings, warnings := record.Check(r)
		require.NoError(t, findings.Err())
		require.NoError(t, warnings.Err())
		out = append(out, r)
	}
}

// TestReadme checks that the settings files used by README.md are valid.
func TestReadme(t *testing.T) {
	for _, file := range []string{"node1.ini", "node2.ini", "node3.ini"} {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, findings := settings.Parse(file, data)
		require.NoError(t, findings.Err())
	}
}
