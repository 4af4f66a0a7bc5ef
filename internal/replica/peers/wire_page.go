package peers

// wirePage is the wire form of a replica.Page.
type wirePage struct {
	Items    []wireItem `json:"items"`
	Revision uint64     `json:"at"`
	Fresh    bool       `json:"fresh,omitempty"`
}
