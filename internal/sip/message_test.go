package sip

import (
	"bytes"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "larkrouter/internal/seed"
)

func crlf(s string) []byte { return []byte(strings.ReplaceAll(s, "\n", "\r\n")) }

// TestUnusualValidMessages checks that unusual but valid messages modelled on RFC 4475, section 3.1, are parsed,
// except for spaces inside "SIP / 2.0".
func TestUnusualValidMessages(t *testing.T) {
	m, err := Parse(crlf(`INVITE sip:vivekg@chair-dnrc.example.com;unknownparam SIP/2.0
TO :
 sip:vivekg@chair-dnrc.example.com ;   tag    = 1918181833n
from   : "J Rosenberg \\\""       <sip:jdrosen@example.com>
  ;
  tag = 98asjd8
MaX-fOrWaRdS: 0068
Call-ID: wsinv.ndaksdj@192.0.2.1
Cseq: 0009
  INVITE
Via  : SIP  /   2.0
 /UDP
    192.0.2.2;branch=390skdjuw
s :
NewFangledHeader:   newfangled value
 continued newfangled value
UnknownHeaderWithUnusualValue: ;;,,;;,;
Content-Type: application/sdp
Route:
 <sip:services.example.com;lr;unknownwith=value;unknown-no-value>
v:  SIP  / 2.0  / TCP     spindle.example.com   ;
  branch  =   z9hG4bK9ikj8  ,
 SIP  /    2.0   / UDP  192.168.255.111   ; branch=
 z9hG4bK30239
m:"Quoted string \"\"" <sip:jdrosen@example.com> ; newparam =
      newvalue ;
  secondparam ; q = 0.33
l: 5

v=0
x`), Limits{})
	// RFC 3261 allows spaces inside "SIP / 2.0". No peer of this node sends them, and the parser rejects them.
	if err == nil {
		t.Fatalf("message with spaces inside SIP / 2.0 was parsed as %+v, want an error", m)
	}
	m, err = Parse(crlf(`INVITE sip:vivekg@chair.example.com;unknownparam SIP/2.0
TO :
 sip:vivekg@chair.example.com ;   tag    = 1918181833n
from   : "J Rosenberg \\\""       <sip:jdrosen@example.com>
  ;
  tag = 98asjd8
MaX-fOrWaRdS: 0068
i: wsinv.ndaksdj@192.0.2.1
Cseq: 0009
  INVITE
Via  : SIP/2.0/UDP 192.0.2.2;branch=z9hG4bK390skdjuw
s :
NewFangledHeader:   newfangled value
 continued newfangled value
v:  SIP/2.0/TCP     spindle.example.com   ;
  branch  =   z9hG4bK9ikj8  , SIP/2.0/UDP  192.168.255.111   ; branch=z9hG4bK30239
Route: <sip:a.example.com;lr>, "x, y" <sip:b.example.com;lr>
l: 5

v=0
x`), Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if got := m.Values("Via"); len(got) != 3 || ParamValue(got[1], "branch") != "z9hG4bK9ikj8" ||
		ParamValue(got[2], "branch") != "z9hG4bK30239" {
		t.Errorf("Via: got %q, want three hops with their branches", got)
	}
	if got := m.Values("Route"); len(got) != 2 || got[1] != `"x, y" <sip:b.example.com;lr>` {
		t.Errorf("Route: got %q, want two addresses", got)
	}
	if m.Tag("To") != "1918181833n" || m.Tag("From") != "98asjd8" || m.Get("Max-Forwards") != "0068" || !m.Has("Subject") {
		t.Errorf("To tag %q, From tag %q, Max-Forwards %q: want 1918181833n, 98asjd8, 0068 and a Subject",
			m.Tag("To"), m.Tag("From"), m.Get("Max-Forwards"))
	}
	if n, method, ok := m.CSeq(); n != 9 || method != INVITE || !ok {
		t.Errorf("CSeq: got %d %q, ok %v; want 9 INVITE", n, method, ok)
	}
	if m.Get("Newfangledheader") != "newfangled value continued newfangled value" || string(m.Body) != "v=0\r\n" {
		t.Errorf("folded field %q, body %q; want the lines joined by a space, and 5 bytes", m.Get("Newfangledheader"), m.Body)
	}
	back, err := Parse(m.Bytes(), Limits{})
	if err != nil || !slices.Equal(back.Values("Via"), m.Values("Via")) || !slices.Equal(back.Values("Route"), m.Values("Route")) {
		t.Errorf("after serializing and parsing again: %v, Via %q; want Via and Route unchanged", err, back.Values("Via"))
	}
}

const validHeader = "INVITE sip:a@b SIP/2.0\nVia: SIP/2.0/UDP h:5060;branch=z9hG4bKa\nFrom: <sip:a@b>;tag=1\nTo: <sip:b@c>\n" +
	"Call-ID: x\nCSeq: 1 INVITE\n"

// TestMalformedMessages checks the response status of each kind of malformed message; 0 means that it is dropped.
func TestMalformedMessages(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no start line", "hello\n\n", 0},
		{"no Via", "INVITE sip:a@b SIP/2.0\nFrom: <sip:a@b>;tag=1\nTo: <sip:b@c>\nCall-ID: x\nCSeq: 1 INVITE\n\n", 0},
		{"Via without host", strings.Replace(validHeader, "UDP h:5060", "UDP ", 1) + "\n", 0},
		{"no empty line after the header", validHeader, 0},
		{"truncated body", validHeader + "Content-Length: 9\n\nabc", 400},
		{"negative Content-Length", validHeader + "Content-Length: -999\n\nabc", 400},
		{"two Content-Length fields", validHeader + "Content-Length: 3\nContent-Length: 4\n\nabcd", 400},
		{"Content-Length out of range", validHeader + "Content-Length: 99999999999999\n\n", 400},
		{"CSeq out of range", strings.Replace(validHeader, "CSeq: 1", "CSeq: 36893488147419103232", 1) + "\n", 400},
		{"CSeq of another method", strings.Replace(validHeader, "1 INVITE", "1 BYE", 1) + "\n", 400},
		{"two From fields", validHeader + "f: <sip:c@d>;tag=9\n\n", 400},
		{"unclosed angle bracket in From", strings.Replace(validHeader, "<sip:a@b>;", "<sip:a@b;", 1) + "\n", 400},
		{"unknown version", strings.Replace(validHeader, "SIP/2.0\n", "SIP/7.0\n", 1) + "\n", 505},
		{"URI in angle brackets", strings.Replace(validHeader, "INVITE sip:a@b", "INVITE <sip:a@b>", 1) + "\n", 400},
		{"field without colon", validHeader + "nonsense\n\n", 400},
		{"field name with space", validHeader + "Bad Name: x\n\n", 400},
		{"port out of range", strings.Replace(validHeader, "h:5060", "h:99999", 1) + "\n", 0},
		{"status out of range", "SIP/2.0 4294967301 better not\n\n", 0},
		{"long line", validHeader + "X: " + strings.Repeat("a", 5000) + "\n\n", 400},
		{"many fields", validHeader + strings.Repeat("X: y\n", 200) + "\n", 400},
	} {
		_, err := Parse(crlf(c.text), Limits{})
		e, ok := AsParseError(err)
		if !ok || e.Status != c.status {
			t.Errorf("%s: got error %v (%v), want status %d", c.name, err, e, c.status)
		}
	}
	if _, err := Parse(append(crlf(validHeader), "\r\n"+strings.Repeat("b", 70)...), Limits{MaxBody: 64}); err == nil {
		t.Error("a body over the limit was accepted")
	}
}

// TestSeconds checks ParseDeltaSeconds: comments and parameters are ignored, values are limited to a day, and text
// without a leading digit is rejected.
func TestSeconds(t *testing.T) {
	for in, want := range map[string]time.Duration{"5": 5 * time.Second, " 18000;duration=3600": 5 * time.Hour,
		"120 (I'm in a meeting)": 2 * time.Minute,
		"99999999999999999999":   24 * time.Hour, "4294967296": 24 * time.Hour, "0": 0} {
		if got, ok := ParseDeltaSeconds(in); !ok || got != want {
			t.Errorf("%q: got %v, ok %v", in, got, ok)
		}
	}
	for _, in := range []string{"", ";", "()", "-1", "x"} {
		if got, ok := ParseDeltaSeconds(in); ok {
			t.Errorf("%q was parsed as %v, want failure", in, got)
		}
	}
}

// TestStreamPieces checks that a stream fed in pieces of random sizes gives the same messages and keep-alives each
// time.
func TestStreamPieces(t *testing.T) {
	one := crlf(validHeader + "Content-Length: 4\n\nabcd")
	two := crlf("SIP/2.0 200 OK\nVia: SIP/2.0/TCP h;branch=z9hG4bKa\nFrom: <sip:a@b>;tag=1\nTo: <sip:b@c>;tag=2\nCall-ID: x\n" +
		"CSeq: 1 INVITE\nl: 0\n\n")
	all := slices.Concat(one, []byte("\r\n\r\n"), two, one)
	rapid.Check(t, func(t *rapid.T) {
		var s Stream
		var got []string
		pings := 0
		for rest := all; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "small") {
				n = 1
			}
			s.Feed(rest[:n])
			rest = rest[n:]
			for {
				m, err := s.Next()
				if err != nil {
					t.Fatal(err)
				}
				if m == nil {
					break
				}
				got = append(got, m.Method+string(m.Body))
			}
			pings += s.TakePings()
		}
		if !slices.Equal(got, []string{"INVITEabcd", "", "INVITEabcd"}) || pings != 1 || s.IsMidMessage() {
			t.Fatalf("got messages %q, %d pings, mid-message %v; want two INVITEs around a response, 1 ping, false",
				got, pings, s.IsMidMessage())
		}
	})
}

// TestStreamMaxMessage guards against messages longer than the protocol allows, and counts the bytes held of an incomplete one.
func TestStreamMaxMessage(t *testing.T) {
	const text = "OPTIONS sip:a@b SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nContent-Length: 29\r\n\r\n"
	for limit, isAccepted := range map[int]bool{len(text) + 29: true, len(text) + 28: false} {
		s := Stream{Limits: Limits{MaxMessage: limit, AllowBare: true}}
		s.Feed([]byte(text + "body"))
		_, err := s.Next()
		if (err == nil) != isAccepted || isAccepted && s.Held() != len(text)+4 {
			t.Errorf("limit %d: error %v, %d bytes held; want accepted %v, %d", limit, err, s.Held(), isAccepted, len(text)+4)
		}
	}
}

// TestStreamBroken checks that nothing is parsed after a framing error, since the start of the next message is unknown.
func TestStreamBroken(t *testing.T) {
	s := Stream{Limits: Limits{MaxLine: 256}}
	s.Feed(crlf(validHeader + "\n")) // no Content-Length
	_, err := s.Next()
	s.Feed(crlf(validHeader + "Content-Length: 0\n\n"))
	m, again := s.Next()
	if err == nil || again != err || m != nil {
		t.Errorf("got %v, then %v %v; want the same error twice and no message", err, m, again)
	}
	s = Stream{Limits: Limits{MaxLine: 256}}
	s.Feed(bytes.Repeat([]byte("a"), 5000))
	if _, err := s.Next(); err == nil {
		t.Error("a header over the limit was not rejected")
	}
}

// TestRoundTrip checks that a serialized message parses to the same message.
func TestRoundTrip(t *testing.T) {
	word := rapid.StringMatching(`[a-zA-Z0-9.!%*_+~-]{1,12}`)
	rapid.Check(t, func(t *rapid.T) {
		m := NewRequest(word.Draw(t, "method"), "sip:"+word.Draw(t, "user")+"@127.0.0.1", "<sip:a@h>;tag="+word.Draw(t, "tag"),
			"<sip:b@h>", word.Draw(t, "id"), rapid.Uint32Range(0, 1<<31-1).Draw(t, "cseq"), 70)
		for range rapid.IntRange(1, 4).Draw(t, "vias") {
			m.Prepend("Via", "SIP/2.0/UDP "+word.Draw(t, "host")+";branch=z9hG4bK"+word.Draw(t, "branch"))
		}
		for range rapid.IntRange(0, 4).Draw(t, "routes") {
			m.Add(rapid.SampledFrom([]string{"Route", "Record-Route", "X-Other", "Supported"}).Draw(t, "name"), "<sip:"+word.Draw(t, "r")+";lr>")
		}
		m.Body = rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "body")
		got, err := Parse(m.Bytes(), Limits{})
		if err != nil {
			t.Fatalf("a serialized message does not parse: %v\n%s", err, m.Bytes())
		}
		if got.Method != m.Method || got.URI != m.URI || !slices.Equal(got.Fields, m.Fields) || !bytes.Equal(got.Body, m.Body) {
			t.Fatalf("got  %+v\nwant %+v", got, m)
		}
	})
}

// TestAddresses checks that addresses and URIs are parsed and serialized without change, and that malformed ones are
// rejected.
func TestAddresses(t *testing.T) {
	for in, want := range map[string]Address{
		`"A, <B>;tag=no" <sip:u;x=1@h:5070;transport=tcp?s=1>;tag=t`: {`"A, <B>;tag=no"`, URI{"sip", "u;x=1", "h", 5070,
			";transport=tcp", "?s=1"}, ";tag=t"},
		`sip:h;tag=t`:        {"", URI{Scheme: "sip", Host: "h"}, ";tag=t"},
		`<sips:[::1]:5061>`:  {"", URI{Scheme: "sips", Host: "[::1]", Port: 5061}, ""},
		`<tel:+47-22;ext=1>`: {"", URI{Scheme: "tel", User: "+47-22", Params: ";ext=1"}, ""},
	} {
		got, err := ParseAddress(in)
		if err != nil || got != want {
			t.Errorf("%s: got %+v, %v", in, got, err)
		}
		again, err := ParseAddress(got.String())
		if err != nil || again != got {
			t.Errorf("%s serialized as %s: got %+v, %v", in, got, again, err)
		}
	}
	for _, in := range []string{"", "sip:", "<sip:a@>", "<sip:a@h:0>", "<sip:a@h:x>", "sip:a b@h", "<sip:a@h> junk", "tel:abcxyz"} {
		if got, err := ParseAddress(in); err == nil {
			t.Errorf("%q was parsed as %+v, want an error", in, got)
		}
	}
	if u, _ := ParseURI("tel:+47-22.11"); u.Number() != "+472211" {
		t.Errorf("number: got %q, want +472211", u.Number())
	}
	if p, ok := (URI{Host: "[::1]", Params: ";transport=TCP"}).Peer(); !ok || p.Transport != TCP ||
		p.Addr != netip.MustParseAddrPort("[::1]:5060") {
		t.Errorf("peer: got %v, ok %v; want tcp:[::1]:5060", p, ok)
	}
}

// TestReceived checks rport and received (RFC 3581, section 4): the response goes to the source of the request.
func TestReceived(t *testing.T) {
	from := Peer{Addr: netip.MustParseAddrPort("192.0.2.9:40000")}
	m, err := Parse(crlf(strings.Replace(validHeader, "branch", "rport;branch", 1)+"Via: SIP/2.0/UDP far;branch=z9hG4bKb\n\n"), Limits{})
	if err != nil {
		t.Fatal(err)
	}
	StampReceived(m, from)
	if v := m.Get("Via"); ParamValue(v, "rport") != "40000" || ParamValue(v, "received") != "192.0.2.9" || ResponsePeer(m, from) != from ||
		len(m.Values("Via")) != 2 {
		t.Errorf("Via %q, reply to %v; want rport 40000 and received, to the source", v, ResponsePeer(m, from))
	}
	m, _ = Parse(crlf(validHeader+"\n"), Limits{})
	StampReceived(m, from)
	if to := ResponsePeer(m, from); ParamValue(m.Get("Via"), "received") != "192.0.2.9" || to.Addr.Port() != 5060 {
		t.Errorf("Via %q, reply to %v; want received, and port 5060", m.Get("Via"), to)
	}
}

// FuzzParse checks that a message that was parsed can be serialized and parses to the same message again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(benchInvite))
	f.Add(crlf(validHeader + "Content-Length: 0\n\n"))
	f.Add(crlf("SIP/2.0 180 Ringing\nv: SIP/2.0/UDP h;branch=z9hG4bKa, SIP/2.0/UDP i\nf: \"a,b\" <sip:a@b>;tag=1\n" +
		"t: sip:b@c;tag=2\ni: x\nCSeq: 1 INVITE\n\n"))
	f.Add([]byte("\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b, Limits{})
		if err != nil {
			return
		}
		again, err := Parse(m.Bytes(), Limits{MaxLine: 16384})
		if err != nil {
			t.Fatalf("a serialized message does not parse: %v\n%q", err, m.Bytes())
		}
		if again.Method != m.Method || again.Status != m.Status || !slices.Equal(again.Fields, m.Fields) || !bytes.Equal(again.Body, m.Body) {
			t.Fatalf("%+v\nserialized and parsed again as %+v, want no change", m, again)
		}
		StampReceived(m, Peer{Addr: netip.MustParseAddrPort("127.0.0.1:1")})
		ResponsePeer(m, Peer{Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	})
}

// FuzzStream checks that a stream gives as many messages when it is fed in pieces as when it is fed at once.
func FuzzStream(f *testing.F) {
	f.Add([]byte(benchInvite+benchInvite), uint8(3))
	f.Add(crlf("\n\n"+validHeader+"Content-Length: 2\n\nab"), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		whole, pieces := Stream{}, Stream{}
		count := func(s *Stream) (n int) {
			for {
				m, err := s.Next()
				if m == nil || err != nil {
					return n
				}
				n++
			}
		}
		whole.Feed(b)
		want := count(&whole)
		got := 0
		for i := 0; i < len(b); i += int(step) + 1 {
			pieces.Feed(b[i:min(len(b), i+int(step)+1)])
			got += count(&pieces)
		}
		if got != want {
			t.Fatalf("got %d messages when fed in pieces, %d when fed at once", got, want)
		}
	})
}
