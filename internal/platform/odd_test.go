package platform

import (
	"context"
	"net/http"
	"strings"
	"testing"
)

// nested is JSON that is nested too deeply for the library.
var nested = strings.Repeat("[", 20000) + strings.Repeat("]", 20000)

// Guards against one odd entry in the list of VMs that costs all others.
func TestAnOddEntryInTheListOfVMs(t *testing.T) {
	for name, odd := range map[string]string{
		"null":             `null`,
		"a list":           `[]`,
		"a number":         `1e999`,
		"no ID":            `{}`,
		"an ID of a type":  `{"id":5}`,
		"nested":           nested,
		"nested in a name": `{"id":"odd","role":` + nested + `}`,
	} {
		client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"vms":[{"id":"a"},` + odd + `,{"id":"b"}]}`))
		})
		list, err := client.ListVMs(context.Background(), nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(list.VMs) != 2 || list.VMs[1].ID != "b" || len(list.Malformed) != 1 {
			t.Errorf("%s: %v, %v", name, list.VMs, list.Malformed)
		}
	}
}

// Guards against one odd record in the log after which nothing is read any more.
func TestAnOddRecordInTheLog(t *testing.T) {
	for name, odd := range map[string]string{
		"null":                `null`,
		"a list":              `[]`,
		"no base64":           `{"offset":6,"data":"?"}`,
		"data of a type":      `{"offset":6,"data":{}}`,
		"an offset too large": `{"offset":99999999999999999999,"data":""}`,
		"a negative offset":   `{"offset":-1,"data":""}`,
		"nested":              `{"offset":6,"data":` + nested + `}`,
	} {
		client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"first":0,"next":8,"records":[{"offset":5,"data":"YQ=="},` + odd + `,{"offset":7,"data":"Yg=="}]}`))
		})
		batch, err := client.Read(context.Background(), 5, 10, 0)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(batch.Records) != 3 || batch.NextOffset != 8 {
			t.Errorf("%s: %+v", name, batch)
			continue
		}
		if r := batch.Records[1]; r.Offset != 6 || len(r.Data) != 0 || string(batch.Records[2].Data) != "b" {
			t.Errorf("%s: %+v", name, batch)
		}
	}
}
