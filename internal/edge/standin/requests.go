package standin

import (
	"fmt"
	"strings"
)

// Header fields of set-ups.
const (
	inviteFields       = "X-Tier: voice\r\nX-Deadline: 2000\r\nX-Attrs: dest:0;width:1;via:-1\r\n"
	unknownClassFields = "X-Tier: no-such-class\r\nX-Deadline: 2000\r\nX-Attrs: dest:0;width:1;via:-1\r\n"
)

// FormatRequest returns a request of a caller. n is the id of its call, fields are further header fields.
func FormatRequest(method string, n int, body string, fields ...string) string {
	return fmt.Sprintf("%s sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 %s\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", method, calledNumber, n, method, strings.Join(fields, ""), len(body), body)
}

// FormatInvite returns a set-up.
func FormatInvite(n int) string {
	return FormatRequest("INVITE", n, "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n", inviteFields)
}

// FormatUnknownClass returns a set-up of a class that does not exist.
func FormatUnknownClass(n int) string { return FormatRequest("INVITE", n, "x", unknownClassFields) }

// FormatLargeInvite returns a set-up of almost 16 KiB, the most that a message holds.
func FormatLargeInvite(n int) string {
	const paddingFields, paddingSize, bodySize = 50, 150, 7 << 10
	padding := strings.Repeat("X-Padding: "+strings.Repeat("y", paddingSize)+"\r\n", paddingFields)
	return FormatRequest("INVITE", n, "9d41c07a5be2f318\r\n"+strings.Repeat("x", bodySize), padding, inviteFields)
}
