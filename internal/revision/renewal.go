package revision

import (
	"encoding/json"
	"time"
)

// RenewRequest is a holder's request for a lease, with what it has to tell. Numbers are 0 for none.
type RenewRequest struct {
	Holder
	HoldOnPartition  bool   `json:"c,omitempty"`
	Seq              uint64 `json:"s"`           // of this request
	HasNumber        uint64 `json:"t,omitempty"` // number of the revision whose text it has, plus one
	AnsweredProposal uint64 `json:"p,omitempty"` // the proposal that it has staged or rejected
	Rejection        string `json:"no,omitempty"`
	StoppedEpoch     uint64 `json:"e,omitempty"` // the epoch of the stop that its loop has acknowledged
	Totals           Totals `json:"f,omitzero"`
	Links            []byte `json:"l,omitempty"`
}

// RenewReply is the leader's answer to a RenewRequest.
type RenewReply struct {
	Known         bool            `json:"k,omitempty"` // the holder is listed
	MinGeneration uint64          `json:"fl,omitempty"`
	Epoch         uint64          `json:"e"`
	Stopped       bool            `json:"s,omitempty"`
	Granted       bool            `json:"g,omitempty"`
	Lease         time.Duration   `json:"d,omitempty"`
	Number        uint64          `json:"n"` // in force
	Hash          string          `json:"h,omitempty"`
	Text          json.RawMessage `json:"t,omitempty"` // if the holder has not got it
	Proposal      uint64          `json:"p,omitempty"`
	Proposed      json.RawMessage `json:"pt,omitempty"` // if the holder has not answered it
	ProposedHash  string          `json:"ph,omitempty"`
	Next          time.Duration   `json:"x,omitempty"` // renew after so long
	Links         []byte          `json:"l,omitempty"`
}
