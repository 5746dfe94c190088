package quetzalcodec

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// EncodeDivision returns the JSON of the division of the accounts' caps.
func EncodeDivision(d *quetzalaccount.Division) ([]byte, error) {
	doc := quetzalwire.DivisionDoc{Pools: []quetzalwire.PoolPartsDoc{}}
	for i := range d.Pools {
		p := &d.Pools[i]
		parts := quetzalwire.PoolPartsDoc{Pool: string(p.Pool), Token: int(p.Token), Accounts: []quetzalwire.AccountPartDoc{}}
		for _, a := range p.Accounts {
			doc := quetzalwire.AccountPartDoc{
				Account: string(a.Account), Held: encodeResources(a.Held), Unmet: encodeResources(a.Unmet),
				Firm: encodeResources(a.Firm), Task: encodeResources(a.Task),
			}
			if turn := int(a.Turn); turn != 0 {
				doc.Turn = &turn
			}
			parts.Accounts = append(parts.Accounts, doc)
		}
		doc.Pools = append(doc.Pools, parts)
	}
	data, err := json.Marshal(doc)
	return data, eris.Wrap(err, "encode division")
}

// DecodeDivision decodes the division of the accounts' caps. The revision is that of its row.
func DecodeDivision(data []byte, revision quetzalunit.Revision) (quetzalaccount.Division, error) {
	var doc quetzalwire.DivisionDoc
	if err := json.Unmarshal(data, &doc); err != nil {
		return quetzalaccount.Division{}, eris.Wrap(err, "decode division")
	}
	d := quetzalaccount.Division{Revision: revision}
	for _, p := range doc.Pools {
		parts := quetzalaccount.PoolParts{Pool: quetzalunit.PoolID(p.Pool), Token: quetzalunit.FencingToken(p.Token)}
		for _, a := range p.Accounts {
			part := quetzalaccount.AccountPart{
				Account: quetzalunit.AccountID(a.Account), Held: decodeResources(a.Held), Unmet: decodeResources(a.Unmet),
				Firm: decodeResources(a.Firm), Task: decodeResources(a.Task),
			}
			if a.Turn != nil {
				part.Turn = quetzalunit.Revision(*a.Turn)
			}
			parts.Accounts = append(parts.Accounts, part)
		}
		d.Pools = append(d.Pools, parts)
	}
	return d, nil
}

// encodeResources returns the components without the zeros at the end.
func encodeResources(r quetzalunit.Resources) []int {
	all := []int{int(r.Cores), int(r.Memory), int(r.Accelerators)}
	for len(all) > 0 && all[len(all)-1] == 0 {
		all = all[:len(all)-1]
	}
	return all
}

func decodeResources(all []int) quetzalunit.Resources {
	at := func(i int) int {
		if i < len(all) {
			return all[i]
		}
		return 0
	}
	return quetzalunit.Resources{Cores: quetzalunit.MilliCores(at(0)), Memory: quetzalunit.Megabytes(at(1)), Accelerators: quetzalunit.Accelerators(at(2))}
}
