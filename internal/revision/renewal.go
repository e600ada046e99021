package revision

import (
	"encoding/json"
	"time"
)

// RenewRequest is a holder's request for a lease together with its status. A number of 0 means none.
type RenewRequest struct {
	Holder
	KeepLeaseOnPartition bool   `json:"c,omitempty"`
	Seq                  uint64 `json:"s"`           // of this request
	HasNumber            uint64 `json:"t,omitempty"` // number of the revision whose text it has, plus 1
	AnsweredProposal     uint64 `json:"p,omitempty"` // the proposal that it has staged or rejected
	Rejection            string `json:"no,omitempty"`
	StoppedEpoch         uint64 `json:"e,omitempty"` // the epoch of the stop that its event loop has acknowledged
	Totals               Totals `json:"f,omitzero"`
	Links                []byte `json:"l,omitempty"`
}

// RenewReply is the leader's reply to a RenewRequest.
type RenewReply struct {
	Known         bool            `json:"k,omitempty"` // the holder is listed
	MinGeneration uint64          `json:"fl,omitempty"`
	Epoch         uint64          `json:"e"`
	Stopped       bool            `json:"s,omitempty"`
	Granted       bool            `json:"g,omitempty"`
	Lease         time.Duration   `json:"d,omitempty"`
	Number        uint64          `json:"n"` // of the revision in force
	Hash          string          `json:"h,omitempty"`
	Text          json.RawMessage `json:"t,omitempty"` // only if the holder does not have it
	Proposal      uint64          `json:"p,omitempty"`
	Proposed      json.RawMessage `json:"pt,omitempty"` // only if the holder has not answered the proposal
	ProposedHash  string          `json:"ph,omitempty"`
	RenewAfter    time.Duration   `json:"x,omitempty"` // time until the next renewal
	Links         []byte          `json:"l,omitempty"`
}
