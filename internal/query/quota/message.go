package quota

//go:generate go tool -modfile=../../../tools/go.mod msgp -file message.go -tests=false

// Order is a message from a process to a quota owner: it leases shares of quotas to the owner
// and asks for tokens. One message concerns all tenants of the owner.
type Order struct {
	// VM and Boot identify the process that sends the order, and Seq orders its messages to
	// this owner. An owner uses each number once.
	VM   string `msg:"v"`
	Boot uint64 `msg:"b"`
	Seq  uint64 `msg:"q"`
	// OwnerBoot and Stamp are those of the latest answer of the owner, or 0. The leases end
	// LeaseMicros after Stamp on the clock of the owner.
	OwnerBoot   uint64 `msg:"o"`
	Stamp       int64  `msg:"t"`
	LeaseMicros int64  `msg:"l"`
	// Slots is the set of slots whose shares are leased, one bit each, and Sharers the number
	// of shares into which each quota is divided.
	Slots   uint64 `msg:"s"`
	Sharers uint32 `msg:"n"`
	Asks    []Ask  `msg:"a,limit=16384"`
}

//msgp:tuple Ask

// Ask asks for tokens of one tenant.
type Ask struct {
	Tenant string
	// Need is the number of requests that wait, and Ahead the number of tokens wanted for
	// requests that are expected.
	Need, Ahead uint32
	// Held is the number of tokens that the process holds, and Returned the number that it
	// gives back with this message.
	Held, Returned uint32
	// Rate and Burst are the quota of the tenant in a version of the configuration.
	Rate, Burst float64
	Version     uint64
}

// Reply answers an Order.
type Reply struct {
	// Boot identifies the process of the owner, and Stamp is its clock.
	Boot  uint64 `msg:"b"`
	Stamp int64  `msg:"t"`
	// Grants holds one element for each Ask, in the same order, or none if the order is a
	// repeated or outdated one.
	Grants []Grant `msg:"g,limit=16384"`
}

//msgp:tuple Grant

// Grant is the answer to an Ask.
type Grant struct {
	// Count is the number of tokens granted, those for waiting requests first.
	Count uint32
	// WaitMicros is the time until the next token, if fewer than needed were granted.
	WaitMicros int64
}
