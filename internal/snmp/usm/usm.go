// Package usm implements the user-based security model of SNMPv3 (RFC 3414) with SHA-2 authentication (RFC 7860) and AES-128
// privacy (RFC 3826) for the authoritative engine. It has no clock; engine boots and engine time are arguments.
package usm

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/sha512"
	"errors"
	"fmt"
	"hash"

	"larkrouter/internal/snmp/ber"
)

// AuthProtocol is an authentication protocol, HMAC with a hash function and a truncated code.
type AuthProtocol struct {
	Name    string
	newHash func() hash.Hash
	macSize int // bytes of the authentication code that are transmitted
}

// The authentication protocols of RFC 7860, section 4.
var (
	SHA224 = &AuthProtocol{"sha224", sha256.New224, 16}
	SHA256 = &AuthProtocol{"sha256", sha256.New, 24}
	SHA384 = &AuthProtocol{"sha384", sha512.New384, 32}
	SHA512 = &AuthProtocol{"sha512", sha512.New, 48}
)

// AuthProtocols maps names to authentication protocols.
var AuthProtocols = map[string]*AuthProtocol{"sha224": SHA224, "sha256": SHA256, "sha384": SHA384, "sha512": SHA512}

// LocalizedKey derives the key of a user for one engine from a passphrase (RFC 3414, sections 2.6 and A.2).
func (a *AuthProtocol) LocalizedKey(passphrase string, engineID []byte) []byte {
	hasher := a.newHash()
	block := bytes.Repeat([]byte(passphrase), 64/len(passphrase)+2)
	for done := 0; done < 1<<20; done += 64 {
		at := done % len(passphrase)
		hasher.Write(block[at : at+64])
	}
	userKey := hasher.Sum(nil)
	hasher.Reset()
	hasher.Write(userKey)
	hasher.Write(engineID)
	hasher.Write(userKey)
	return hasher.Sum(nil)
}

// mac returns the authentication code of a message.
func (a *AuthProtocol) mac(key, msg []byte) []byte {
	h := hmac.New(a.newHash, key)
	h.Write(msg)
	return h.Sum(nil)[:a.macSize]
}

// User is a user with keys localized for one engine.
type User struct {
	Name    string
	Auth    *AuthProtocol // nil means no authentication
	AuthKey []byte
	PrivKey []byte // 16 bytes for AES-128; nil means no privacy
}

// NewUser returns a user with keys derived from the passphrases for an engine. auth may be nil, privPass may be empty.
// Passphrases must have at least 8 characters (RFC 3414, section 11.2).
func NewUser(name string, auth *AuthProtocol, authPass, privPass string, engineID []byte) (*User, error) {
	user := &User{Name: name, Auth: auth}
	if name == "" || len(name) > 32 {
		return nil, fmt.Errorf("snmp user %q: name must have 1 to 32 characters", name)
	}
	for purpose, passphrase := range map[string]string{"authentication": authPass, "privacy": privPass} {
		if passphrase != "" && len(passphrase) < 8 {
			return nil, fmt.Errorf("snmp user %s: %s passphrase of %d characters is too short, min 8", name, purpose, len(passphrase))
		}
	}
	if auth != nil {
		if authPass == "" {
			return nil, fmt.Errorf("snmp user %s: authentication with %s needs a passphrase", name, auth.Name)
		}
		user.AuthKey = auth.LocalizedKey(authPass, engineID)
	}
	if privPass != "" {
		if auth == nil {
			return nil, fmt.Errorf("snmp user %s: privacy requires authentication", name)
		}
		user.PrivKey = auth.LocalizedKey(privPass, engineID)[:16]
	}
	return user, nil
}

// Bits of msgFlags (RFC 3412, section 6.4).
const (
	FlagAuth       = 1
	FlagPriv       = 2
	FlagReportable = 4
)

// Message is an SNMPv3 message.
type Message struct {
	MessageID               int32
	MaxSize                 int32
	Flags                   byte
	SecurityModel           int32
	EngineID                []byte
	EngineBoots, EngineTime int32
	UserName                string
	authParam               []byte
	privParam               []byte
	scopedData              []byte // scoped PDU, encrypted if FlagPriv is set
	whole                   []byte
	ContextEngineID         []byte
	ContextName             []byte
	PDU                     ber.PDU
}

// ParseHeader parses a message up to the scoped PDU (RFC 3412, section 7.2; RFC 3414, section 2.4). whole is the complete
// message and afterVersion the part of it that follows the version. The security parameters are parsed only for model 3, USM.
func ParseHeader(whole, afterVersion []byte) (*Message, error) {
	msg := &Message{whole: whole}
	global, rest, err := ber.ReadTagged(ber.Sequence, afterVersion)
	if err != nil {
		return nil, err
	}
	if msg.MessageID, global, err = ber.ReadInt32(global); err != nil {
		return nil, err
	}
	if msg.MaxSize, global, err = ber.ReadInt32(global); err != nil {
		return nil, err
	}
	flags, global, err := ber.ReadTagged(ber.OctetString, global)
	if err != nil || len(flags) != 1 {
		return nil, fmt.Errorf("%w: invalid msgFlags", ber.ErrMalformed)
	}
	msg.Flags = flags[0]
	if msg.SecurityModel, _, err = ber.ReadInt32(global); err != nil {
		return nil, err
	}
	params, data, err := ber.ReadTagged(ber.OctetString, rest)
	if err != nil {
		return nil, err
	}
	msg.scopedData = data
	if msg.SecurityModel != 3 {
		return msg, nil
	}
	security, _, err := ber.ReadTagged(ber.Sequence, params)
	if err != nil {
		return nil, err
	}
	if msg.EngineID, security, err = ber.ReadTagged(ber.OctetString, security); err != nil {
		return nil, err
	}
	if msg.EngineBoots, security, err = ber.ReadInt32(security); err != nil {
		return nil, err
	}
	if msg.EngineTime, security, err = ber.ReadInt32(security); err != nil {
		return nil, err
	}
	var user []byte
	if user, security, err = ber.ReadTagged(ber.OctetString, security); err != nil {
		return nil, err
	}
	msg.UserName = string(user)
	if msg.authParam, security, err = ber.ReadTagged(ber.OctetString, security); err != nil {
		return nil, err
	}
	if msg.privParam, _, err = ber.ReadTagged(ber.OctetString, security); err != nil {
		return nil, err
	}
	if msg.EngineBoots < 0 || msg.EngineTime < 0 || len(msg.EngineID) > 32 || len(user) > 32 {
		return nil, fmt.Errorf("%w: security parameters out of range", ber.ErrMalformed)
	}
	return msg, nil
}

// Errors of Verify and DecodeScopedPDU.
var (
	ErrWrongDigest = errors.New("wrong authentication code")
	ErrDecryption  = errors.New("message cannot be decrypted")
)

// Verify checks the authentication code, which covers the whole message.
func (m *Message) Verify(user *User) error {
	if len(m.authParam) != user.Auth.macSize {
		return ErrWrongDigest
	}
	// authParam is a slice of whole, so that its position follows from the capacities. Searching for its value would not be
	// reliable, as the same bytes may occur elsewhere.
	macStart := cap(m.whole) - cap(m.authParam)
	if macStart < 0 || macStart+len(m.authParam) > len(m.whole) || &m.whole[macStart] != &m.authParam[0] {
		return ErrWrongDigest
	}
	zeroed := bytes.Clone(m.whole)
	clear(zeroed[macStart : macStart+len(m.authParam)])
	if !hmac.Equal(user.Auth.mac(user.AuthKey, zeroed), m.authParam) {
		return ErrWrongDigest
	}
	return nil
}

// DecodeScopedPDU decrypts the scoped PDU, if FlagPriv is set, and decodes it. u may be nil if FlagPriv is not set.
func (m *Message) DecodeScopedPDU(u *User) error {
	data := m.scopedData
	if m.Flags&FlagPriv != 0 {
		ciphertext, _, err := ber.ReadTagged(ber.OctetString, data)
		if err != nil || len(m.privParam) != 8 || u == nil || u.PrivKey == nil {
			return ErrDecryption
		}
		plaintext := make([]byte, len(ciphertext))
		cfbStream(u.PrivKey, m.EngineBoots, m.EngineTime, m.privParam, false).XORKeyStream(plaintext, ciphertext)
		data = plaintext
	}
	err := m.parseScopedPDU(data)
	if err != nil && m.Flags&FlagPriv != 0 {
		return ErrDecryption
	}
	return err
}

// parseScopedPDU decodes a scoped PDU in plain text.
func (m *Message) parseScopedPDU(data []byte) error {
	seq, _, err := ber.ReadTagged(ber.Sequence, data) // encryption padding may follow
	if err != nil {
		return err
	}
	if m.ContextEngineID, seq, err = ber.ReadTagged(ber.OctetString, seq); err != nil {
		return err
	}
	if m.ContextName, seq, err = ber.ReadTagged(ber.OctetString, seq); err != nil {
		return err
	}
	m.PDU, err = ber.ReadPDU(seq)
	return err
}

// cfbStream returns an AES-128 CFB stream with the initialization vector of RFC 3826, section 3.1.2.1.
func cfbStream(key []byte, boots, time int32, salt []byte, encrypt bool) cipher.Stream {
	var iv [16]byte
	put := func(b []byte, n int32) { b[0], b[1], b[2], b[3] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n) }
	put(iv[0:], boots)
	put(iv[4:], time)
	copy(iv[8:], salt)
	block, err := aes.NewCipher(key)
	if err != nil {
		panic(err) // not reached: keys always have 16 bytes
	}
	if encrypt {
		//lint:ignore SA1019 RFC 3826 defines no other mode than CFB; encrypted messages are always authenticated (RFC 3414)
		return cipher.NewCFBEncrypter(block, iv[:])
	}
	//lint:ignore SA1019 as above
	return cipher.NewCFBDecrypter(block, iv[:])
}

// Encode returns the encoded message, encrypted and authenticated as its flags require. user may be nil if they require
// neither. salt must be unique for each message that is encrypted with the same key.
func Encode(msg *Message, user *User, salt uint64) []byte {
	scoped := ber.AppendElement(nil, ber.OctetString, msg.ContextEngineID)
	scoped = ber.AppendElement(scoped, ber.OctetString, msg.ContextName)
	scoped = ber.AppendElement(nil, ber.Sequence, ber.AppendPDU(scoped, msg.PDU))
	var authParam, privParam []byte
	if msg.Flags&FlagAuth != 0 {
		authParam = make([]byte, user.Auth.macSize)
	}
	if msg.Flags&FlagPriv != 0 {
		privParam = make([]byte, 8)
		for i := range privParam {
			privParam[i] = byte(salt >> (56 - 8*i))
		}
		ciphertext := make([]byte, len(scoped))
		cfbStream(user.PrivKey, msg.EngineBoots, msg.EngineTime, privParam, true).XORKeyStream(ciphertext, scoped)
		scoped = ber.AppendElement(nil, ber.OctetString, ciphertext)
	}
	global := ber.AppendInteger(nil, int64(msg.MessageID))
	global = ber.AppendInteger(global, int64(msg.MaxSize))
	global = ber.AppendElement(global, ber.OctetString, []byte{msg.Flags})
	global = ber.AppendInteger(global, 3)
	params := ber.AppendElement(nil, ber.OctetString, msg.EngineID)
	params = ber.AppendInteger(params, int64(msg.EngineBoots))
	params = ber.AppendInteger(params, int64(msg.EngineTime))
	params = ber.AppendElement(params, ber.OctetString, []byte(msg.UserName))
	params = ber.AppendElement(params, ber.OctetString, authParam)
	params = ber.AppendElement(params, ber.OctetString, privParam)
	params = ber.AppendElement(nil, ber.Sequence, params)

	body := ber.AppendInteger(nil, 3)
	body = ber.AppendElement(body, ber.Sequence, global)
	body = ber.AppendElement(body, ber.OctetString, params)
	scopedStart := len(body)
	body = append(body, scoped...)
	whole := ber.AppendElement(nil, ber.Sequence, body)
	if len(authParam) > 0 {
		headerSize := len(whole) - len(body)
		privLen := len(ber.AppendElement(nil, ber.OctetString, privParam))
		macStart := headerSize + scopedStart - privLen - len(authParam)
		copy(whole[macStart:], user.Auth.mac(user.AuthKey, whole))
	}
	return whole
}
