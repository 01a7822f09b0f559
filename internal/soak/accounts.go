package soak

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Names of headers that concern accounts.
const (
	headerKey     = "Authorization"
	headerAccount = "Tenant"
	keyScheme     = "Token"
)

// keyMark is in all keys of a run, those that no version holds too. It has no letters, so that it is found in any case.
type keyMark []byte

func newKeyMark(random *rand.Rand) keyMark { return fmt.Appendf(nil, "%020d", random.Uint64()) }

// in reports whether data holds a key. An empty mark is in no data.
func (m keyMark) in(data []byte) bool { return len(m) > 0 && bytes.Contains(data, m) }

// keyScanner is an io.Writer that looks for keys in a stream, in which a key may be divided between writes.
type keyScanner struct {
	mark  keyMark
	tail  []byte
	found bool // In what was written since it was last set to false.
}

// Write implements io.Writer. It never fails.
func (s *keyScanner) Write(p []byte) (int, error) {
	if len(s.mark) == 0 {
		return len(p), nil
	}
	overlap := len(s.mark) - 1
	s.tail = append(s.tail, p[:min(len(p), overlap)]...)
	s.found = s.found || s.mark.in(s.tail) || s.mark.in(p)
	if len(p) > overlap {
		s.tail = append(s.tail[:0], p[len(p)-overlap:]...)
	}
	s.tail = append([]byte(nil), s.tail[max(len(s.tail)-overlap, 0):]...)
	return len(p), nil
}

// keyIn returns the part of a request, whose body has passed through scan, that holds a key; "" if none does.
func (m keyMark) keyIn(r *http.Request, scan *keyScanner) string {
	holds := func(h http.Header) bool {
		var text bytes.Buffer
		_ = h.Write(&text)
		return m.in(text.Bytes())
	}
	switch {
	case holds(r.Header) || m.in([]byte(r.RequestURI)):
		return "header"
	case holds(r.Trailer):
		return "trailer"
	case scan.found:
		return "body"
	}
	return ""
}

// accountNames returns the account names that a request carries in its head and its trailer.
func accountNames(r *http.Request) []string {
	return append(slices.Clone(r.Header.Values(headerAccount)), r.Trailer.Values(headerAccount)...)
}

// accountBook is the accounts of the configuration. Its user guards it.
type accountBook struct {
	mark    keyMark
	random  *rand.Rand
	keys    map[string][]string // By account; nil if accounts are not enabled.
	created int
	removed []string // Keys that no account holds any more, latest last.
	recent  []string // Keys that changed lately, latest last.
}

const (
	keysAtStart = 3 // Of each account.
	keysAtMost  = 6
	recentKeys  = 6
	removedKeys = 20
)

func newAccountBook(n int, random *rand.Rand) *accountBook {
	b := &accountBook{random: random}
	if n == 0 {
		return b
	}
	b.mark, b.keys = newKeyMark(random), map[string][]string{}
	for k := range n {
		name := fmt.Sprintf("account-%d", k)
		b.keys[name] = nil
		for range keysAtStart {
			b.keys[name] = append(b.keys[name], b.newKey())
		}
	}
	return b
}

func (b *accountBook) newKey() string {
	b.created++
	return fmt.Sprintf("K%s-%d-%s", b.mark, b.created, []string{"aZ", "Za+/=", "q.~_", "xY:!"}[b.random.IntN(4)])
}

func (b *accountBook) names() []string { return slices.Sorted(maps.Keys(b.keys)) }

// anyName returns an account.
func (b *accountBook) anyName() string { return b.names()[b.random.IntN(len(b.keys))] }

// snapshot returns a copy of the accounts' keys.
func (b *accountBook) snapshot() map[string][]string {
	if b.keys == nil {
		return nil
	}
	out := map[string][]string{}
	for name, keys := range b.keys {
		out[name] = slices.Clone(keys)
	}
	return out
}

func (b *accountBook) note(key string) {
	b.recent = append(b.recent, key)
	b.recent = b.recent[max(len(b.recent)-recentKeys, 0):]
}

// add gives an account a new key.
func (b *accountBook) add() {
	name := b.anyName()
	if len(b.keys[name]) >= keysAtMost {
		b.remove()
	}
	key := b.newKey()
	b.keys[name] = append(b.keys[name], key)
	b.note(key)
}

// take takes a key from an account that has some; "" if there is none.
func (b *accountBook) take() (name, key string) {
	var holders []string
	for _, name := range b.names() {
		if len(b.keys[name]) > 0 {
			holders = append(holders, name)
		}
	}
	if len(holders) == 0 {
		return "", ""
	}
	name = holders[b.random.IntN(len(holders))]
	k := b.random.IntN(len(b.keys[name]))
	key = b.keys[name][k]
	b.keys[name] = slices.Delete(slices.Clone(b.keys[name]), k, k+1)
	b.note(key)
	return name, key
}

func (b *accountBook) remove() {
	if _, key := b.take(); key != "" {
		b.removed = append(b.removed, key)
		b.removed = b.removed[max(len(b.removed)-removedKeys, 0):]
	}
}

// move gives a key of one account to another.
func (b *accountBook) move() {
	from, key := b.take()
	if key == "" {
		b.add()
		return
	}
	to := from
	for to == from && len(b.keys) > 1 {
		to = b.anyName()
	}
	b.keys[to] = append(b.keys[to], key)
}

// addAgain gives a key that was removed to an account.
func (b *accountBook) addAgain() {
	if len(b.removed) == 0 {
		b.add()
		return
	}
	k := b.random.IntN(len(b.removed))
	key := b.removed[k]
	b.removed = slices.Delete(b.removed, k, k+1)
	name := b.anyName()
	b.keys[name] = append(b.keys[name], key)
	b.note(key)
}

// encode returns the accounts as the configuration holds them.
func (b *accountBook) encode() map[string]any {
	out := map[string]any{}
	for k, name := range b.names() {
		account := map[string]any{"api_keys": append([]string{}, b.keys[name]...)}
		if k%2 == 0 {
			account["priority"] = k % 3
		}
		if k%3 == 0 {
			account["rate_per_s"], account["burst"] = 0, 0
		}
		out[name] = account
	}
	return out
}

// encodeTwice returns the accounts with one key at two of them, and whether there are two accounts and a key.
func (b *accountBook) encodeTwice() (map[string]any, bool) {
	out := b.encode()
	for _, name := range b.names() {
		for _, other := range b.names() {
			if name != other && len(b.keys[name]) > 0 {
				out[other] = map[string]any{"api_keys": append(slices.Clone(b.keys[other]), b.keys[name][0])}
				return out, true
			}
		}
	}
	return out, false
}

// anyKey returns a key that a version holds, more often one that changed lately, or one that was removed.
func (b *accountBook) anyKey(random *rand.Rand) string {
	if len(b.recent) > 0 && random.IntN(3) == 0 {
		return b.recent[random.IntN(len(b.recent))]
	}
	var all []string
	for _, name := range b.names() {
		all = append(all, b.keys[name]...)
	}
	if len(all) == 0 {
		return b.unknownKey(random)
	}
	return all[random.IntN(len(all))]
}

// unknownKey returns a key that no version holds.
func (b *accountBook) unknownKey(random *rand.Rand) string {
	return fmt.Sprintf("K%s-u%d", b.mark, random.Uint64())
}

// Shares of the requests, in percent, that carry no valid credential or something that is to be removed.
const (
	percentAbsent   = 4
	percentOdd      = 9 // Of other kinds that are answered 401.
	percentOwnName  = 15
	percentHopByHop = 10
	percentTrailer  = 20 // Of the requests with a body.
	percentOldProto = 8  // HTTP/1.0, of those on connections of their own.
	percentHead     = 10 // Of the lookups.
)

// authorize gives a request a credential, and headers and trailers that no upstream may get.
func (b *accountBook) authorize(q *request, random *rand.Rand) {
	percent := func(n int) bool { return random.IntN(100) < n }
	pick := func(list ...string) string { return list[random.IntN(len(list))] }
	key, names := b.anyKey(random), b.names()
	line := func(scheme, key string) {
		q.headers = append(q.headers, pick(headerKey, headerKey, "authorization", "AUTHORIZATION")+": "+scheme+" "+key)
	}
	scheme := pick(keyScheme, keyScheme, "token", "TOKEN")
	switch n := random.IntN(100); {
	case n < percentAbsent:
	case n < percentAbsent+percentOdd:
		q.credential.State = CredentialMalformed
		switch random.IntN(5) {
		case 0:
			q.credential = Credential{CredentialPresent, b.unknownKey(random)}
			line(scheme, q.credential.Key)
		case 1:
			// Keys differ by case.
			q.credential = Credential{CredentialPresent, "k" + key[1:]}
			line(scheme, q.credential.Key)
		case 2:
			line(pick("Bearer", "Basic", "Tokens"), key)
		case 3:
			line(scheme, key)
			line(keyScheme, pick(key, b.anyKey(random)))
		case 4:
			line(scheme, "")
		}
	default:
		q.credential = Credential{CredentialPresent, key}
		line(scheme, key)
	}
	if percent(percentOwnName) {
		for range 1 + random.IntN(2) {
			q.headers = append(q.headers, pick(headerAccount, "tenant", "TENANT", "tEnAnT")+": "+pick("intruder", names[random.IntN(len(names))]))
		}
	}
	hop := ""
	if percent(percentHopByHop) {
		hop = pick(headerAccount, headerKey, strings.ToLower(headerAccount)+", "+strings.ToLower(headerKey))
	}
	switch {
	case q.method == http.MethodGet && percent(percentHead):
		q.method = http.MethodHead
	case q.body > 0 && q.sendTime == 0 && percent(percentTrailer):
		trailers := []string{pick(headerAccount, "tenant") + ": intruder", pick(headerKey, "authorization") + ": " + keyScheme + " " + key}
		from := random.IntN(2)
		q.trailers = trailers[from : from+1+random.IntN(2-from)]
		if percent(50) {
			q.headers = append(q.headers, "Trailer: "+headerAccount+", "+headerKey)
		}
	case q.own && percent(percentOldProto):
		q.oldProto = true
	}
	if hop != "" {
		q.headers = append(q.headers, "Connection: "+hop)
	}
	random.Shuffle(len(q.headers), func(i, j int) { q.headers[i], q.headers[j] = q.headers[j], q.headers[i] })
}

// authorize gives a request a credential if accounts are enabled.
func (o *operator) authorize(q *request, random *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accounts.keys != nil {
		o.accounts.authorize(q, random)
	}
}

// changeKeys changes the keys of accounts in one of the usual ways.
func (o *operator) changeKeys(random *rand.Rand) error {
	b := o.accounts
	switch random.IntN(7) {
	case 0:
		return o.change("a key is added", b.add)
	case 1:
		return o.change("a key is removed", b.remove)
	case 2:
		if err := o.change("a key is removed", b.remove); err != nil {
			return err
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		return o.change("a key is added again", b.addAgain)
	case 3:
		if err := o.writeTwice(); err != nil {
			return err
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	case 4:
		return o.change("a route needs a key, or needs none any more", func() {
			name := o.idle()
			if name == "" {
				return
			}
			route := o.routes[name]
			route.Anonymous = !route.Anonymous
			o.routes[name] = route
			o.touch(route)
		})
	}
	return o.change("a key is moved", b.move)
}

// writeTwice writes a configuration that names a key twice, which invalidates all of it.
func (o *operator) writeTwice() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.down {
		o.cond.Wait()
	}
	accounts, ok := o.accounts.encodeTwice()
	if !ok {
		return nil
	}
	o.number += 1 + uint32(o.random.IntN(6))
	value := o.encode(o.number)
	value["tenants"] = accounts
	if _, err := o.store.PutJSON("op/config", value); err != nil {
		return err
	}
	o.recorder.printf("version %08x, which is invalid, is acknowledged: a key is named twice", o.number)
	return nil
}

// keysMove adds, removes and moves keys in quick succession.
func keysMove(r *run, random *rand.Rand) error {
	if r.operator.accounts.keys == nil {
		return nil
	}
	for range 6 + random.IntN(8) {
		if r.over() {
			return nil
		}
		if err := r.operator.changeKeys(random); err != nil {
			return err
		}
		pause := 60 + random.IntN(600)
		if random.IntN(4) == 0 {
			pause += 2500 // Beyond the time in which a change takes effect.
		}
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
	return r.operator.change("a key is moved", r.operator.accounts.move)
}

// metricsEvery is the interval at which the instances' metrics are searched for keys.
const metricsEvery = 5 * time.Second

// searchMetrics searches the metrics of the instances for keys.
func (r *run) searchMetrics() {
	for _, m := range r.fleet.all() {
		resp, err := control.Get("http://" + m.metrics + "/metrics")
		if err != nil {
			continue // It is stopped or disrupted.
		}
		scan := keyScanner{mark: r.operator.accounts.mark}
		_, _ = io.Copy(&scan, resp.Body)
		_ = resp.Body.Close()
		if scan.found {
			r.recorder.leak(Leak{Place: LeakMetrics, Machine: m.name})
		}
	}
}
