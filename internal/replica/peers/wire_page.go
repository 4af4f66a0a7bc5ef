package peers

// wirePage is a replica.Page between nodes.
type wirePage struct {
	Items []wireItem `json:"items"`
	At    uint64     `json:"at"`
	Fresh bool       `json:"fresh,omitempty"`
}
