package codec

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/ident"
	"rhubarbrack/once"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

const machineSeed = 20260303

// randomCommand returns a random command. It chooses from few names, so that
// commands refer to the same objects. Revisions and epochs are mostly current.
func randomCommand(r *rand.Rand, m *state.Machine, samples []SourceDocument) state.Command {
	pick := func(prefix string, n int) string { return fmt.Sprint(prefix, r.Intn(n)) }
	request := ident.RequestID(pick("q", 60))
	host, incarnation := ident.Host(pick("edge-", 3)), ident.Incarnation(1+r.Intn(3))
	if member, ok := m.Config().Member(host); ok && r.Intn(4) > 0 {
		incarnation = member.Incarnation()
	}
	region := []ident.Region{"gulf", "bay", "coast", "mars"}[r.Intn(4)]
	at := epoch.Add(time.Duration(r.Intn(100)) * time.Hour)
	key := once.NewKey("pilots", ident.RequestID(pick("r", 3)))
	holder := once.NewHolder(host, incarnation, uint64(r.Intn(3)))
	switch r.Intn(16) {
	case 0, 1:
		s := samples[r.Intn(len(samples))]
		old, _ := m.Config().Document(s.Document().Kind(), s.Document().Name())
		return state.NewPutDocument(request, old.Revision(), s.Document(), s.Source())
	case 2:
		s := samples[r.Intn(len(samples))].Document()
		old, _ := m.Config().Document(s.Kind(), s.Name())
		return state.NewDeleteDocument(request, old.Revision(), s.Kind(), s.Name())
	case 3:
		return state.NewIssueKey(request, ident.KeyID(pick("k", 3)), "pilots", [32]byte{byte(r.Intn(9))})
	case 4:
		return state.NewWithdrawKey(request, state.AnyRevision, ident.KeyID(pick("k", 3)))
	case 5:
		return state.NewPlanDrain(request, 0, state.DrainID(pick("d", 3)), state.RegionScope(region), at, at.Add(time.Hour))
	case 6:
		return state.NewCancelDrain(request, state.AnyRevision, state.DrainID(pick("d", 3)))
	case 7:
		fraction := float64(r.Intn(5)) / 4
		return state.NewSetShares("bells", region, []state.Share{state.NewShare("gulf", fraction), state.NewShare("bay", 1-fraction)})
	case 8, 9:
		return state.NewJoin(state.NewMember(host, incarnation, "gulf-a", "gulf", "10.0.0.1:1", pick("10.0.0.1:", 2)))
	case 10:
		return state.NewLeave(host, incarnation)
	case 11:
		return state.NewExpire(host, incarnation)
	case 12:
		old, _ := m.Config().Role("rates/0")
		return state.NewAssignRole("rates/0", host, old.Epoch()+ident.Epoch(r.Intn(2)))
	case 13:
		return state.NewMarkSuspect(ident.Fingerprint{byte(r.Intn(3))}, 1+r.Intn(2), at)
	case 14:
		return state.NewClaim(key, ident.Fingerprint{byte(r.Intn(2))}, holder)
	}
	return state.NewResolve(key, holder, []once.Resolution{once.NotRun(), once.Unknown(),
		once.Ran(once.NewResult(200, []once.Header{once.NewHeader("a", "b")}, []byte("x")))}[r.Intn(3)])
}

// replicas holds a leader, a follower that applies decoded commands and
// restores snapshots, and an entry host that replays the shared commands.
type replicas struct {
	leader, follower *state.Machine
	entry            *state.Config
}

func (p *replicas) step(r *rand.Rand, samples []SourceDocument, now time.Time) error {
	return p.apply(r, state.Stamp(randomCommand(r, p.leader, samples), now))
}

func (p *replicas) apply(r *rand.Rand, command state.Command) error {
	data, err := EncodeCommand(command)
	if err != nil {
		return err
	}
	received, err := DecodeCommand(data)
	if err != nil {
		return err
	}
	revision := p.leader.Revision() + 1
	previous := p.leader.Config()
	before, err := EncodeConfig(previous)
	if err != nil {
		return err
	}
	outcome := p.leader.Apply(revision, command)
	if after, err := EncodeConfig(previous); err != nil || !bytes.Equal(before, after) {
		return fmt.Errorf("%s changed an earlier config: %w", command.Kind(), err)
	}
	if err := p.sameOutcome(outcome, p.follower.Apply(revision, received)); err != nil {
		return fmt.Errorf("%s: %w", command.Kind(), err)
	}
	if outcome.Shared() {
		if p.entry, err = state.Replay(p.entry, revision, received); err != nil {
			return err
		}
	}
	if r.Intn(8) == 0 {
		return p.restart()
	}
	return nil
}

// sameOutcome checks that two outcomes are equal and round-trip.
func (p *replicas) sameOutcome(a, b state.Outcome) error {
	left, err := EncodeOutcome(a)
	if err != nil {
		return err
	}
	right, err := EncodeOutcome(b)
	if err != nil {
		return err
	}
	decoded, err := DecodeOutcome(left)
	if err != nil {
		return err
	}
	reencoded, err := EncodeOutcome(decoded)
	if err != nil || !bytes.Equal(left, right) || !bytes.Equal(left, reencoded) {
		return fmt.Errorf("outcomes differ: %+v, %+v and %+v: %w", a, b, decoded, err)
	}
	return nil
}

// restart restores the follower and the entry host from their snapshots.
func (p *replicas) restart() error {
	data, err := EncodeMachine(p.follower)
	if err != nil {
		return err
	}
	if p.follower, err = DecodeMachine(data); err != nil {
		return err
	}
	data, err = EncodeConfig(p.entry)
	if err != nil {
		return err
	}
	p.entry, err = DecodeConfig(data)
	return err
}

func (p *replicas) compare() error {
	left, err := EncodeMachine(p.leader)
	if err != nil {
		return err
	}
	right, err := EncodeMachine(p.follower)
	if err != nil || !bytes.Equal(left, right) {
		return fmt.Errorf("leader and follower differ: %w", err)
	}
	left, err = EncodeConfig(p.leader.Config())
	if err != nil {
		return err
	}
	right, err = EncodeConfig(p.entry)
	if err != nil || !bytes.Equal(left, right) {
		return fmt.Errorf("leader and entry host differ: %w", err)
	}
	return nil
}

// Guards against hosts that diverge although they apply the same commands,
// whether in memory, after decoding, by Replay or from a snapshot.
func TestReplicasAgree(t *testing.T) {
	samples, err := Samples()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", machineSeed)
	parameters := gopter.DefaultTestParametersWithSeed(machineSeed)
	parameters.MinSuccessfulTests = 40
	kinds := map[string]int{}
	properties := gopter.NewProperties(parameters)
	properties.Property("replicas agree", prop.ForAll(func(seed int64) (bool, error) {
		r := rand.New(rand.NewSource(seed))
		p := &replicas{leader: state.NewMachine(), follower: state.NewMachine(), entry: state.NewConfig()}
		now := epoch
		for i, s := range samples {
			put := state.NewPutDocument(ident.RequestID(fmt.Sprint("s", i)), 0, s.Document(), s.Source())
			if err := p.apply(r, state.Stamp(put, now)); err != nil {
				return false, err
			}
		}
		for i := range 100 {
			now = now.Add(time.Duration(r.Intn(3600)) * time.Second)
			if err := p.step(r, samples, now); err != nil {
				return false, err
			}
			if i%10 != 9 {
				continue
			}
			if err := p.compare(); err != nil {
				return false, err
			}
		}
		for _, d := range p.leader.Config().Documents() {
			kinds[string(d.Document().Kind())]++
		}
		kinds["claims"] += p.leader.Claims().Len()
		kinds["roles"] += len(p.leader.Config().Roles())
		kinds["drains"] += len(p.leader.Config().Drains())
		return true, nil
	}, gen.Int64()))
	properties.TestingRun(t)
	for _, k := range []string{string(prof.KindService), "claims", "roles", "drains"} {
		if kinds[k] == 0 {
			t.Errorf("no run ended with any %s, so the property was not exercised", k)
		}
	}
}
