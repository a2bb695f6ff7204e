package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/api"
)

// TestExamples loads every file of the example deployments.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"shelfwise", "lakeshore"} {
		files, err := filepath.Glob("../../examples/" + deployment + "/*.ini")
		if err != nil || len(files) != 5 {
			t.Fatalf("%s: %d files, %v", deployment, len(files), err)
		}
		lists := map[string][]*api.Section{}
		for _, path := range files {
			name := strings.TrimSuffix(filepath.Base(path), ".ini")
			if err := loadExample(name, path, lists); err != nil {
				t.Error(err)
			}
		}
		if len(lists["plans"]) != 10 {
			t.Errorf("%s: %d teams", deployment, len(lists["plans"]))
		}
		if warnings := CheckAcrossLists(lists["plans"], lists["uses"]); len(warnings) > 0 {
			t.Errorf("%s: %v", deployment, warnings)
		}
	}
}

func loadExample(name, path string, lists map[string][]*api.Section) error {
	if name == "entry" {
		_, err := LoadEntry(path)
		return err
	}
	if strings.HasPrefix(name, "agent-") {
		_, err := LoadAgent(path)
		return err
	}
	text, err := ReadFile(path)
	if err != nil {
		return err
	}
	list := api.ListName_LIST_PLANS
	if name == "uses" {
		list = api.ListName_LIST_USES
	}
	lists[name], err = Parse(list, path, text)
	return err
}
